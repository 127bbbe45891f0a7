package yuccaferry.app

import org.junit.jupiter.api.Nested
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

class SettingsPageTest {
    private val page = File("../docs/settings.md")

    @Nested
    inner class `the settings' page` {
        @Test
        fun `is what the code generates`() {
            if (System.getProperty("yuccaferry.writeSettingsPage") == "true") page.writeText(settingsPage())
            assertEquals(settingsPage(), page.readText())
        }
    }
}
