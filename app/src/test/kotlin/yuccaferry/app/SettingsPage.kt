/*
 * Generates docs/settings.md from the settings' descriptors, their defaults, and the `@property` lines
 * of their doc comments.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package yuccaferry.app

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.encodeToJsonElement
import yuccaferry.model.Address
import yuccaferry.model.RegionName
import yuccaferry.model.ZoneName
import java.io.File

private val SOURCES =
    listOf(
        "src/main/kotlin/yuccaferry/app/DaemonSettings.kt",
        "../adapter-http/src/main/kotlin/yuccaferry/http/admin/OperatorTokens.kt",
    )
private val CLASS = Regex("""/\*\*((?:(?!\*/)[\s\S])*)\*/\s*@Serializable\s*(?:data )?class (\w+)""")
private val PROPERTY = Regex("""@property (\w+) ((?:(?!@property)[\s\S])*)""")
private val COMMENT_MARGIN = Regex("""\s*\n\s*\*\s*""")
private val LINK = Regex("""\[(\w+)]""")

private val HEADER =
    """
    |# Settings of a daemon
    |
    |A JSON file, named by `yuccaferryd --settings FILE` and read once at the start. `--check-settings` checks it and stops. All problems
    |are reported at once with path, expected and found; an unknown field is one, and is shown with the nearest known name. Secrets are not
    |in it: operators' tokens are there as SHA-256 hashes.
    |
    |This page is generated from the code: `mvn -pl app -am test -Dtest=SettingsPageTest* -Dyuccaferry.writeSettingsPage=true
    |-Dsurefire.failIfNoSpecifiedTests=false`.
    |
    || path | type | default | meaning |
    || --- | --- | --- | --- |
    """.trimMargin()

internal fun settingsPage(): String {
    val defaults = Json { encodeDefaults = true }.encodeToJsonElement(exampleSettings)
    val rows = fields("$", DaemonSettings.serializer().descriptor, defaults, meanings())
    return HEADER + "\n" + rows.joinToString("\n", postfix = "\n")
}

private val exampleSettings =
    DaemonSettings(
        settingsVersion = SETTINGS_VERSION,
        name = "",
        region = RegionName(""),
        zone = ZoneName(""),
        callers = Listener("", 0),
        admin = Listener("", 0),
        peers = Listener("", 0),
        platform = PlatformSettings(emptyList(), Address("")),
    )

private fun fields(
    path: String,
    descriptor: SerialDescriptor,
    defaults: JsonElement?,
    meanings: Map<String, String>,
): List<String> =
    (0 until descriptor.elementsCount).flatMap { i ->
        val name = descriptor.getElementName(i)
        val field = descriptor.getElementDescriptor(i)
        val value = (defaults as? JsonObject)?.get(name)
        val shown =
            if (descriptor.isElementOptional(
                    i,
                )
            ) {
                value?.takeUnless { isSection(field) }?.let { "`$it`" } ?: "see below"
            } else {
                "required"
            }
        val meaning = meanings["${descriptor.serialName.removeSuffix("?")}.$name"].orEmpty()
        listOf("| `$path.$name` | ${typeOf(field)} | $shown | $meaning |") + nested("$path.$name", field, value, meanings)
    }

private fun nested(
    path: String,
    field: SerialDescriptor,
    value: JsonElement?,
    meanings: Map<String, String>,
): List<String> =
    when {
        isSection(field) -> fields(path, field, value, meanings)

        field.kind == StructureKind.LIST &&
            isSection(
                field.getElementDescriptor(0),
            )
        -> fields("$path[]", field.getElementDescriptor(0), null, meanings)

        else -> emptyList()
    }

private fun isSection(field: SerialDescriptor) = field.kind == StructureKind.CLASS && !field.isInline

private fun typeOf(field: SerialDescriptor): String =
    when {
        field.isInline -> typeOf(field.getElementDescriptor(0))
        field.kind == StructureKind.LIST -> "array of ${typeOf(field.getElementDescriptor(0))}"
        field.kind == PrimitiveKind.STRING -> "string"
        field.kind == PrimitiveKind.BOOLEAN -> "boolean"
        field.kind == PrimitiveKind.INT || field.kind == PrimitiveKind.LONG -> "integer"
        field.kind is PrimitiveKind -> "number"
        else -> "object"
    } + if (field.isNullable) " or null" else ""

/** Returns the `@property` text of all settings by full class name and property. */
private fun meanings(): Map<String, String> =
    SOURCES
        .flatMap { path ->
            val text = File(path).readText()
            val prefix = text.lineSequence().first { it.startsWith("package ") }.removePrefix("package ")
            CLASS.findAll(text).flatMap { found ->
                val (comment, name) = found.destructured
                PROPERTY.findAll(comment).map {
                    "$prefix.$name.${it.groupValues[1]}" to
                        it.groupValues[2]
                            .replace(COMMENT_MARGIN, " ")
                            .replace(LINK, "`$1`")
                            .trim()
                }
            }
        }.toMap()
