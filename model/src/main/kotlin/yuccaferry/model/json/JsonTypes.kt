// Checks whether JSON primitives match a serial descriptor, and describes types and values in messages.
@file:OptIn(ExperimentalSerializationApi::class)

package yuccaferry.model.json

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

private const val SHOWN_CHARS = 60

internal fun fits(
    value: JsonPrimitive,
    descriptor: SerialDescriptor,
): Boolean {
    if (value is JsonNull) return false
    return if (value.isString) fitsString(value.content, descriptor) else fitsUnquoted(value.content, descriptor.kind)
}

private fun fitsString(
    text: String,
    descriptor: SerialDescriptor,
): Boolean =
    when (descriptor.kind) {
        SerialKind.ENUM -> text in descriptor.elementNames
        PrimitiveKind.STRING -> true
        PrimitiveKind.CHAR -> text.length == 1
        else -> false
    }

private fun fitsUnquoted(
    text: String,
    kind: SerialKind,
): Boolean =
    when (kind) {
        PrimitiveKind.BOOLEAN -> text == "true" || text == "false"
        PrimitiveKind.BYTE -> text.toByteOrNull() != null
        PrimitiveKind.SHORT -> text.toShortOrNull() != null
        PrimitiveKind.INT -> text.toIntOrNull() != null
        PrimitiveKind.LONG -> text.toLongOrNull() != null
        PrimitiveKind.FLOAT -> text.toFloatOrNull()?.isFinite() == true
        PrimitiveKind.DOUBLE -> text.toDoubleOrNull()?.isFinite() == true
        else -> false
    }

internal fun describeType(descriptor: SerialDescriptor): String =
    when (descriptor.kind) {
        SerialKind.ENUM -> "one of ${descriptor.elementNames.joinToString { "\"$it\"" }}"
        PrimitiveKind.STRING -> "a string"
        PrimitiveKind.CHAR -> "a string of one character"
        PrimitiveKind.BOOLEAN -> "true or false"
        PrimitiveKind.BYTE, PrimitiveKind.SHORT, PrimitiveKind.INT -> "an integer of up to 32 bits"
        PrimitiveKind.LONG -> "an integer"
        PrimitiveKind.FLOAT, PrimitiveKind.DOUBLE -> "a number"
        StructureKind.LIST -> "an array"
        else -> if (descriptor.isInline) describeType(descriptor.getElementDescriptor(0)) else "an object"
    }

internal fun describeValue(value: JsonElement): String =
    when (value) {
        is JsonNull -> "null"
        is JsonObject -> "an object"
        is JsonArray -> "an array"
        is JsonPrimitive -> if (value.isString) "\"${shorten(value.content)}\"" else shorten(value.content)
    }

internal fun shorten(text: String): String = if (text.length <= SHOWN_CHARS) text else text.take(SHOWN_CHARS) + "..."
