package yuccaferry.ctl

import org.junit.jupiter.api.Nested
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.ServerSocket
import kotlin.io.path.createTempFile
import kotlin.io.path.deleteIfExists
import kotlin.io.path.writeText
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class CtlTest {
    private val out = ByteArrayOutputStream()
    private val err = ByteArrayOutputStream()
    private val token = createTempFile("token").also { it.writeText("secret\n") }
    private val file = createTempFile("file", ".json").also { it.writeText("""{"format":1,"zones":[{"name":"a","region":"r"}]}""") }
    private val daemons = mutableListOf<FakeDaemon>()

    @AfterTest
    fun clean() {
        token.deleteIfExists()
        file.deleteIfExists()
        daemons.forEach { it.close() }
    }

    private fun daemon(react: (method: String, path: String) -> Reaction?) = FakeDaemon(react).also { daemons += it }

    private fun ctl(
        vararg args: String,
        admin: String = "",
    ): ExitCode {
        val environment = mapOf("YUCCAFERRY_ADMIN" to admin, "YUCCAFERRY_TOKEN_FILE" to token.toString())
        return runCtl(arrayOf(*args), environment, PrintStream(out, true), PrintStream(err, true))
    }

    private fun unusedAddress() = ServerSocket(0).use { "http://127.0.0.1:${it.localPort}" }

    @Nested
    inner class `a command line` {
        @Test
        fun `with an error ends with the usage code and a message on standard error`() {
            assertEquals(ExitCode.USAGE, ctl("apply"))
            assertEquals(ExitCode.USAGE, ctl("zone", "sideways", "a", admin = "http://127.0.0.1:1"))
            assertEquals(ExitCode.USAGE, ctl("status", "--output", "yaml", admin = "http://127.0.0.1:1"))
            assertEquals(ExitCode.USAGE, ctl("status"))
            assertContains(err.toString(), "no daemon named")
            assertEquals("", out.toString())
        }

        @Test
        fun `that asks for help ends with the success code`() {
            assertEquals(ExitCode.OK, ctl("apply", "--help"))
            assertContains(out.toString(), "--base")
        }
    }

    @Nested
    inner class `a faulty file` {
        @Test
        fun `is refused offline with file, path, expected and found`() {
            file.writeText("""{"format":1,"zones":[{"name":"a"}],"acounts":[]}""")
            assertEquals(ExitCode.INVALID_FILE, ctl("validate", "$file"))
            assertEquals(
                "$file: $.zones[0].region: expected a string, found no such field\n" +
                    "$file: $.acounts: expected a known field such as accounts, found an unknown field\n",
                err.toString(),
            )
        }
    }

    @Nested
    inner class `an apply` {
        @Test
        fun `without a base reads the version first and prints it`() {
            val daemon = daemon { method, _ -> Reaction.Answer(200, """{"version":1,"state":"accepted"}""").takeIf { method == "POST" } }
            assertEquals(ExitCode.OK, ctl("apply", "$file", admin = daemon.address))
            assertEquals(listOf("GET /v1/configuration", "POST /v1/configuration?base=0"), daemon.calls)
            assertContains(err.toString(), "base is version 0, read now")
            assertEquals("version 1 accepted\n", out.toString())
            assertEquals(setOf("Bearer secret"), daemon.tokens.toSet())
        }

        @Test
        fun `whose answer was lost is found by reading back and not sent again`() {
            val daemon = daemon { method, _ -> Reaction.ApplyAndDrop.takeIf { method == "POST" } }
            assertEquals(ExitCode.PENDING, ctl("apply", "$file", "--base", "0", "--output", "json", admin = daemon.address))
            assertEquals("""{"version":1,"state":"pending","inForce":null,"daemons":null}""", out.toString().trim())
            assertEquals(1, daemon.calls.count { it.startsWith("POST") })
        }

        @Test
        fun `that was lost before it took effect is sent again with the same attempt id`() {
            var posts = 0
            val daemon =
                daemon { method, _ ->
                    when {
                        method != "POST" -> null
                        posts++ == 0 -> Reaction.Drop
                        else -> Reaction.Answer(200, """{"version":1,"state":"accepted"}""")
                    }
                }
            assertEquals(ExitCode.OK, ctl("apply", "$file", "--base", "0", admin = daemon.address))
            assertEquals(2, posts)
        }

        @Test
        fun `against an outdated version ends as a conflict and prints the differences`() {
            val conflict =
                """{"error":{"code":"conflict","message":"version 4 stands","currentVersion":4,
                "changes":[{"path":"$.accounts[0].weight","from":2,"to":5}]}}"""
            val daemon = daemon { method, _ -> Reaction.Answer(409, conflict).takeIf { method == "POST" } }
            assertEquals(ExitCode.CONFLICT, ctl("apply", "$file", "--base", "3", admin = daemon.address))
            assertEquals("version 4 stands\n  $.accounts[0].weight: 2 -> 5\n", err.toString())
        }

        @Test
        fun `that waits ends as pending when a daemon does not have the version in time`() {
            val fleet =
                """{"version":1,"members":[{"address":"x:1","region":"r","version":1},
                {"address":"x:2","region":"r","version":null}]}"""
            val daemon =
                daemon { method, path ->
                    when {
                        method == "POST" -> Reaction.Answer(200, """{"version":1,"state":"accepted"}""")
                        path == "/v1/fleet" -> Reaction.Answer(200, fleet)
                        else -> null
                    }
                }
            val exit = ctl("apply", "$file", "--base", "0", "--wait", "--timeout", "1", admin = daemon.address)
            assertEquals(ExitCode.PENDING, exit)
            assertEquals("version 1 in force on 1 of 2 daemons; not after 1 s: x:2 (unreachable)\n", out.toString())
        }
    }

    @Nested
    inner class `a daemon that can't be used` {
        @Test
        fun `is skipped and the next address is tried`() {
            val daemon = daemon { _, _ -> Reaction.Answer(200, """{"version":1,"members":[]}""") }
            assertEquals(ExitCode.OK, ctl("fleet", admin = "${unusedAddress()},${daemon.address}"))
        }

        @Test
        fun `ends the command with the exit code of the error`() {
            assertEquals(ExitCode.UNREACHABLE, ctl("fleet", admin = unusedAddress()))
            val daemon = daemon { _, _ -> Reaction.Answer(401, """{"error":{"code":"unauthorised","message":"no"}}""") }
            assertEquals(ExitCode.UNAUTHORISED, ctl("fleet", admin = daemon.address))
        }

        @Test
        fun `is drained only when it is the only address given`() {
            val daemon = daemon { _, _ -> Reaction.Answer(202, """{"draining":true}""") }
            assertEquals(ExitCode.USAGE, ctl("drain", admin = "${unusedAddress()},${daemon.address}"))
            assertEquals(ExitCode.OK, ctl("drain", admin = daemon.address))
            assertEquals(listOf("POST /v1/drain"), daemon.calls)
        }
    }

    @Nested
    inner class `the completion script` {
        @Test
        fun `lists all commands and their options`() {
            assertEquals(ExitCode.OK, ctl("completion", "bash"))
            val script = out.toString()
            assertContains(script, "words=\"apply diff validate status fleet zone drain explain trace completion\"")
            assertContains(script, "zone) words=\"--help --admin --token-file --output --wait --timeout out in\"")
            assertFalse(script.contains("null"))
        }
    }
}
