package org.chalkhollow

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readLines

class LayersTest {
    private fun imports(folder: String): List<String> =
        Files.walk(Path.of("src/main/kotlin/org/chalkhollow", folder)).use { files ->
            files.filter { it.extension == "kt" }.toList().flatMap { file ->
                file
                    .readLines()
                    .filter {
                        it.startsWith(
                            "import ",
                        )
                    }.map { "${file.fileName}: ${it.removePrefix("import ")}" }
            }
        }

    @Test
    fun `the core does no I-O, has no clock and no coroutines`() {
        val all = imports("core")
        assertTrue(all.size > 50, "the sources were not found")
        val foreign =
            listOf(
                "java.io.",
                "java.nio.",
                "java.net.",
                "java.time.",
                "io.ktor.",
                "kotlinx.coroutines.",
                "java.util.Random",
                "kotlin.random.",
                "org.chalkhollow.runtime.",
            )
        assertEquals(emptyList<String>(), all.filter { line -> foreign.any { it in line } })
    }

    @Test
    fun `protocol and peer messages know nothing of the core or the runtime`() {
        val foreign = listOf("org.chalkhollow.core.", "org.chalkhollow.runtime.")
        assertEquals(
            emptyList<String>(),
            (imports("wire") + imports("model")).filter { line ->
                foreign.any { it in line }
            },
        )
    }
}
