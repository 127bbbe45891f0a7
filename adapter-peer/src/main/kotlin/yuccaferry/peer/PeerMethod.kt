/*
 * gRPC method descriptors of the calls between daemons. They are declared by hand, and kotlinx.serialization encodes
 * the messages as protocol buffers, so that the build needs no code generator.
 */
package yuccaferry.peer

import io.grpc.MethodDescriptor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.protobuf.ProtoBuf
import java.io.ByteArrayInputStream
import java.io.InputStream

/** Returns the descriptor of the unary method `yuccaferry.SERVICE/NAME`. */
fun <Q : Any, A : Any> peerMethod(
    service: String,
    name: String,
    request: KSerializer<Q>,
    answer: KSerializer<A>,
): MethodDescriptor<Q, A> =
    MethodDescriptor
        .newBuilder(ProtoBufMarshaller(request), ProtoBufMarshaller(answer))
        .setType(MethodDescriptor.MethodType.UNARY)
        .setFullMethodName(MethodDescriptor.generateFullMethodName("yuccaferry.$service", name))
        .build()

@OptIn(ExperimentalSerializationApi::class)
private class ProtoBufMarshaller<T : Any>(
    private val serializer: KSerializer<T>,
) : MethodDescriptor.Marshaller<T> {
    override fun stream(value: T): InputStream = ByteArrayInputStream(ProtoBuf.encodeToByteArray(serializer, value))

    override fun parse(stream: InputStream): T = ProtoBuf.decodeFromByteArray(serializer, stream.readAllBytes())
}
