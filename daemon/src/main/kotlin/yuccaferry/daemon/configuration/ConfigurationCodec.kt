/*
 * Form in which a configuration is stored and sent: JSON, compressed and in base64 above a size, because the
 * key-value service accepts values of at most one megabyte and daemons spend a few kilobytes a second on control.
 */
package yuccaferry.daemon.configuration

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import yuccaferry.model.Configuration
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.Base64
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Length of the JSON, in characters, from which a configuration is compressed. */
private const val COMPRESS_FROM_CHARS = 2_000

/** Maximum size of the JSON that a compressed value is decompressed to. */
private const val MAX_JSON_BYTES = 64 * 1024 * 1024

/** Prefix of a compressed value; uncompressed JSON starts with a brace. */
private const val COMPRESSED_PREFIX = "gzip:"

/** Encodes and decodes configurations. */
object ConfigurationCodec {
    private val json = Json { ignoreUnknownKeys = true }

    /** Encodes [configuration] as a value of the key-value service. */
    fun encode(configuration: Configuration): String {
        val text = json.encodeToString(configuration)
        return if (text.length < COMPRESS_FROM_CHARS) text else COMPRESSED_PREFIX + Base64.getEncoder().encodeToString(compress(text))
    }

    /** Decodes [value]; null when it is not a valid configuration. */
    fun decode(value: String): Configuration? =
        orNull {
            if (value.startsWith(COMPRESSED_PREFIX)) {
                expand(Base64.getDecoder().decode(value.substring(COMPRESSED_PREFIX.length)))
            } else {
                json.decodeFromString<Configuration>(value)
            }
        }

    /** Encodes [configuration] as compressed bytes, as daemons send it to each other. */
    fun toBytes(configuration: Configuration): ByteArray = compress(json.encodeToString(configuration))

    /** Decodes the output of [toBytes]; null when [bytes] are not a valid configuration. */
    fun fromBytes(bytes: ByteArray): Configuration? = orNull { expand(bytes) }

    private fun orNull(read: () -> Configuration): Configuration? =
        try {
            read()
        } catch (e: SerializationException) {
            null
        } catch (e: IllegalArgumentException) {
            null
        } catch (e: IOException) {
            null
        }

    private fun compress(text: String): ByteArray {
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use { it.write(text.encodeToByteArray()) }
        return bytes.toByteArray()
    }

    private fun expand(bytes: ByteArray): Configuration =
        GZIPInputStream(bytes.inputStream()).use { json.decodeFromString(it.readNBytes(MAX_JSON_BYTES).decodeToString()) }
}
