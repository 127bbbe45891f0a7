/*
 * Compares a JSON tree with the descriptor of the type that it is decoded to. It finds all unknown fields,
 * missing fields and wrong types, whereas decoding stops at the first.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package yuccaferry.model.json

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementDescriptors
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import yuccaferry.model.Problem

/** Field with the serial name of an object's subtype of a sealed type. */
private const val DISCRIMINATOR = "type"

/** Prefix of the serial names of the JSON element types, which accept any JSON. */
private const val JSON_ELEMENT_PREFIX = "kotlinx.serialization.json."

internal class ShapeChecker {
    private val problems = mutableListOf<Problem>()

    /** Returns every mismatch between [root] and [descriptor]. */
    fun check(
        descriptor: SerialDescriptor,
        root: JsonElement,
    ): List<Problem> {
        visit("$", root, descriptor)
        return problems
    }

    private fun visit(
        path: String,
        element: JsonElement,
        descriptor: SerialDescriptor,
    ) {
        when {
            descriptor.serialName.startsWith(JSON_ELEMENT_PREFIX) -> return
            element is JsonNull && descriptor.isNullable -> return
            descriptor.isInline -> visit(path, element, descriptor.getElementDescriptor(0))
            else -> visitKind(path, element, descriptor)
        }
    }

    private fun visitKind(
        path: String,
        element: JsonElement,
        descriptor: SerialDescriptor,
    ) {
        val kind = descriptor.kind
        when {
            kind == StructureKind.CLASS || kind == StructureKind.OBJECT -> {
                ifObject(path, element, descriptor) { visitFields(path, it, descriptor) }
            }

            kind == StructureKind.MAP -> {
                ifObject(path, element, descriptor) { visitEntries(path, it, descriptor) }
            }

            kind == PolymorphicKind.SEALED -> {
                ifObject(path, element, descriptor) { visitSealed(path, it, descriptor) }
            }

            kind == StructureKind.LIST -> {
                visitList(path, element, descriptor)
            }

            kind is PrimitiveKind || kind == SerialKind.ENUM -> {
                if (element !is JsonPrimitive || !fits(element, descriptor)) mismatch(path, element, descriptor)
            }
        }
    }

    private fun visitFields(
        path: String,
        element: JsonObject,
        descriptor: SerialDescriptor,
        alsoKnown: String? = null,
    ) {
        val names = descriptor.elementNames.toList()
        element.forEach { (name, value) ->
            val index = names.indexOf(name)
            when {
                index >= 0 -> visit("$path.$name", value, descriptor.getElementDescriptor(index))
                name != alsoKnown -> problems += unknownField(path, name, names)
            }
        }
        names.filterIndexed { i, name -> name !in element && !descriptor.isElementOptional(i) }.forEach { name ->
            val field = descriptor.getElementDescriptor(names.indexOf(name))
            problems += Problem("$path.$name", describeType(field), "no such field")
        }
    }

    private fun visitEntries(
        path: String,
        element: JsonObject,
        descriptor: SerialDescriptor,
    ) {
        element.forEach { (key, value) ->
            val entry = "$path[\"${shorten(key)}\"]"
            visit(entry, JsonPrimitive(key), descriptor.getElementDescriptor(0))
            visit(entry, value, descriptor.getElementDescriptor(1))
        }
    }

    private fun visitList(
        path: String,
        element: JsonElement,
        descriptor: SerialDescriptor,
    ) {
        if (element is JsonArray) {
            element.forEachIndexed { i, item -> visit("$path[$i]", item, descriptor.getElementDescriptor(0)) }
        } else {
            mismatch(path, element, descriptor)
        }
    }

    private fun visitSealed(
        path: String,
        element: JsonObject,
        descriptor: SerialDescriptor,
    ) {
        val kinds = descriptor.getElementDescriptor(1).elementDescriptors.toList()
        val name = (element[DISCRIMINATOR] as? JsonPrimitive)?.takeIf { it.isString }?.content
        val kind = kinds.firstOrNull { it.serialName == name }
        if (kind == null) {
            val expected = "one of ${kinds.joinToString { "\"${it.serialName}\"" }}"
            problems += Problem("$path.$DISCRIMINATOR", expected, element[DISCRIMINATOR]?.let { describeValue(it) } ?: "no such field")
        } else {
            visitFields(path, element, kind, alsoKnown = DISCRIMINATOR)
        }
    }

    private fun ifObject(
        path: String,
        element: JsonElement,
        descriptor: SerialDescriptor,
        visitObject: (JsonObject) -> Unit,
    ) {
        if (element is JsonObject) visitObject(element) else mismatch(path, element, descriptor)
    }

    private fun mismatch(
        path: String,
        element: JsonElement,
        descriptor: SerialDescriptor,
    ) {
        problems += Problem(path, describeType(descriptor), describeValue(element))
    }

    private fun unknownField(
        path: String,
        name: String,
        known: List<String>,
    ): Problem {
        val nearest = nearest(name, known)
        val expected = if (nearest == null) "one of ${known.joinToString()}" else "a known field such as $nearest"
        return Problem("$path.${shorten(name)}", expected, "an unknown field")
    }
}
