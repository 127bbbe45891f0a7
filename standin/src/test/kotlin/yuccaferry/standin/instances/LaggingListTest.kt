// Tests that readers see a replaced list only after the lag.
package yuccaferry.standin.instances

import yuccaferry.model.Address
import yuccaferry.model.ServiceName
import yuccaferry.model.Target
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind
import yuccaferry.model.ZoneName
import kotlin.test.Test
import kotlin.test.assertEquals

class LaggingListTest {
    private val target = Target(TargetId("t"), TargetKind.ENGINE, ServiceName("m"), ZoneName("z"), Address("127.0.0.1:1"))

    @Test
    fun `a change is seen after the lag`() {
        var time = 0L
        val list = LaggingList(InstancesBody(), lagMillis = 2_000) { time }
        time = 500
        list.replace(InstancesBody(listOf(target)))
        time = 2_499
        assertEquals(emptyList(), list.read().instances)
        time = 2_500
        assertEquals(listOf(target), list.read().instances)
    }
}
