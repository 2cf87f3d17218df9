package org.chalkhollow

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText

/** Guards against imports that couple the core to I/O or to the runtime, and against cycles between its packages. */
class LayersTest {
    private fun sources(folder: String): List<SourceFile> =
        Files.walk(Path.of("src/main/kotlin/org/chalkhollow", folder)).use { paths ->
            paths
                .filter { it.extension == "kt" }
                .map { SourceFile(it.fileName.toString(), it.readText()) }
                .toList()
        }

    private fun imports(folder: String): List<String> =
        sources(folder).flatMap { file ->
            file.text
                .lines()
                .filter { it.startsWith("import ") }
                .map { "${file.name}: ${it.removePrefix("import ")}" }
        }

    private fun List<String>.containingAny(forbidden: List<String>) = filter { line -> forbidden.any { it in line } }

    @Test
    fun `the core uses no I-O, clock, coroutines, random numbers or runtime`() {
        val imports = imports("core")
        assertTrue(imports.size > 50, "the sources were not found")
        val forbidden =
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
        assertEquals(emptyList<String>(), imports.containingAny(forbidden))
    }

    @Test
    fun `wire and model do not use the core or the runtime`() {
        val forbidden = listOf("org.chalkhollow.core.", "org.chalkhollow.runtime.")
        assertEquals(emptyList<String>(), (imports("wire") + imports("model")).containingAny(forbidden))
    }

    @Test
    fun `packages of the core use only the lower packages that the rules allow`() {
        val files = sources("core")
        assertTrue(files.size > 50, "the sources were not found")
        assertEquals(emptyList<String>(), CORE_RULES.cycles())
        assertEquals(emptyList<String>(), CORE_RULES.undeclaredUses(files))
    }

    // The tests below check that violations of the rules are detected.

    private val rules = PackageRules(mapOf("common" to emptySet(), "jobs" to setOf("common"), "core" to setOf("jobs")))

    private fun file(packageName: String, text: String) =
        listOf(SourceFile("File.kt", "package org.chalkhollow.$packageName\n\n$text\n"))

    private fun assertUse(expected: String, files: List<SourceFile>) =
        assertEquals(listOf("File.kt: $expected"), rules.undeclaredUses(files))

    @Test
    fun `a use that no rule allows is detected`() {
        val import = "import org.chalkhollow.core.fleet.Fleet\n\nclass Jobs(val fleet: Fleet)"
        assertUse("jobs uses fleet", file("core.jobs", import))
        val higher = "import org.chalkhollow.core.jobs.JobTable\n\nval jobs = JobTable()"
        assertUse("common uses jobs", file("core.common", higher))
        val root = "import org.chalkhollow.core.Controller\n\nval controller: Controller? = null"
        assertUse("jobs uses core", file("core.jobs", root))
        val qualified = "val fleet = org.chalkhollow.core.fleet.Fleet()"
        assertUse("jobs uses fleet", file("core.jobs", qualified))
        val alias = "import org.chalkhollow.core.fleet.Fleet as Machines\n\nval fleet = Machines()"
        assertUse("jobs uses fleet", file("core.jobs", alias))
        val wildcard = "import org.chalkhollow.core.fleet.*"
        assertUse("jobs uses fleet", file("core.jobs", wildcard))
    }

    @Test
    fun `a use that a rule allows is accepted, and one in a comment is ignored`() {
        val allowed = "import org.chalkhollow.core.common.Now\n\nval now = Now(0, 0)"
        assertEquals(emptyList<String>(), rules.undeclaredUses(file("core.jobs", allowed)))
        val comment = "import org.chalkhollow.core.fleet.Fleet\n\n/** See [Fleet]. */\nclass Jobs // like Fleet"
        assertEquals(emptyList<String>(), rules.undeclaredUses(file("core.jobs", comment)))
    }

    @Test
    fun `a package without a rule is detected`() {
        assertUse("package placement has no rule", file("core.placement", "class Placement"))
        assertUse("not in a package of the core", file("wire", "class Codec"))
    }

    @Test
    fun `rules that allow a cycle are detected`() {
        val cycle = PackageRules(mapOf("jobs" to setOf("fleet"), "fleet" to setOf("jobs")))
        assertEquals(listOf("jobs may use fleet, which is not below it"), cycle.cycles())
        val unknown = PackageRules(mapOf("jobs" to setOf("fleet")))
        assertEquals(listOf("jobs may use fleet, which is not below it"), unknown.cycles())
        assertEquals(emptyList<String>(), rules.cycles())
    }

    private companion object {
        /** From the lowest layer up. */
        val CORE_RULES =
            PackageRules(
                linkedMapOf(
                    "common" to emptySet(),
                    "cluster" to setOf("common"),
                    "leadership" to setOf("common"),
                    "storage" to setOf("common", "leadership"),
                    "jobs" to setOf("common", "cluster", "storage"),
                    "fleet" to setOf("common", "cluster", "storage"),
                    "attempts" to setOf("common", "cluster", "leadership", "storage", "jobs", "fleet"),
                    "placement" to setOf("common", "cluster", "jobs", "fleet", "attempts"),
                    "requests" to setOf("common", "cluster", "leadership", "storage", "jobs", "fleet"),
                    "operations" to
                        setOf("common", "cluster", "leadership", "storage", "jobs", "fleet", "placement"),
                    PackageRules.ROOT to
                        setOf(
                            "common",
                            "cluster",
                            "leadership",
                            "storage",
                            "jobs",
                            "fleet",
                            "attempts",
                            "placement",
                            "requests",
                            "operations",
                        ),
                ),
            )
    }
}
