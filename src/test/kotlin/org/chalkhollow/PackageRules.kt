package org.chalkhollow

/** A Kotlin source file. */
class SourceFile(val name: String, val text: String)

/**
 * Which packages of the core may use which. [allowedUses] lists the packages from the lowest layer to the highest, each
 * with those that it may use. A use is an import whose name occurs in the code, or a qualified name in the code. Names
 * in comments do not count.
 */
class PackageRules(private val allowedUses: Map<String, Set<String>>) {
    /** Rules that would allow a cycle, since the used package does not come before its user. */
    fun cycles(): List<String> {
        val order = allowedUses.keys.toList()
        return allowedUses.flatMap { (user, used) ->
            used
                .filter { order.indexOf(it) !in 0 until order.indexOf(user) }
                .map { "$user may use $it, which is not below it" }
        }
    }

    /** Uses in [files] that no rule allows. */
    fun undeclaredUses(files: List<SourceFile>): List<String> = files.flatMap(::undeclaredUses)

    private fun undeclaredUses(file: SourceFile): List<String> {
        val packageName = PACKAGE.find(file.text) ?: return listOf("${file.name}: not in a package of the core")
        val user = packageName.groupValues[1].ifEmpty { ROOT }
        val allowed = allowedUses[user] ?: return listOf("${file.name}: package $user has no rule")
        return uses(file.text)
            .filter { it != user && it !in allowed }
            .map { "${file.name}: $user uses $it" }
    }

    private fun uses(text: String): Set<String> {
        val code = text.replace(BLOCK_COMMENT, " ").replace(LINE_COMMENT, " ")
        val imports = IMPORT.findAll(code).toList()
        val body = code.replace(IMPORT, "").replace(PACKAGE, "")
        val imported = imports.filter { importedName(it) == "*" || wholeWord(importedName(it)).containsMatchIn(body) }
        return (imported + QUALIFIED.findAll(body)).map { it.groupValues[1].ifEmpty { ROOT } }.toSet()
    }

    private fun importedName(import: MatchResult): String =
        import.groupValues[3].ifEmpty { import.groupValues[2].substringAfterLast('.') }

    private fun wholeWord(name: String) = Regex("\\b" + Regex.escape(name) + "\\b")

    companion object {
        /** The package `core` itself. */
        const val ROOT = "core"

        private val PACKAGE = Regex("(?m)^package org\\.chalkhollow\\.core(?:\\.([a-z]+))?$")
        private val IMPORT =
            Regex("(?m)^import org\\.chalkhollow\\.core\\.(?:([a-z]+)\\.)?([\\w.]+|\\*)(?: as (\\w+))?$")
        private val QUALIFIED = Regex("\\borg\\.chalkhollow\\.core\\.(?:([a-z]+)\\.)?[A-Z]")
        private val BLOCK_COMMENT = Regex("/\\*[\\s\\S]*?\\*/")
        private val LINE_COMMENT = Regex("(?m)(?:^|\\s)//.*$")
    }
}
