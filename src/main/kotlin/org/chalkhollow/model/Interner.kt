package org.chalkhollow.model

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** Maps names to dense indices. Names are interned where they enter the core, which works with the indices only. */
class Interner {
    private val indices = Object2IntOpenHashMap<String>().apply { defaultReturnValue(UNKNOWN) }
    private val names = ArrayList<String>()

    val size: Int get() = names.size

    /** The index of [name]. Assigns the next index if the name is new. */
    fun intern(name: String): Int {
        val existing = indices.getInt(name)
        if (existing != UNKNOWN) return existing
        val index = names.size
        indices.put(name, index)
        names.add(name)
        return index
    }

    /** The index of [name], or [UNKNOWN]; never assigns an index. */
    fun find(name: String): Int = indices.getInt(name)

    fun name(index: Int): String = names[index]

    fun clear() {
        indices.clear()
        names.clear()
    }

    companion object {
        const val UNKNOWN = -1
    }
}
