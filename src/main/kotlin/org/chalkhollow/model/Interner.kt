package org.chalkhollow.model

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** Turns names into dense indices where they enter the core, so that everything behind it works on `Int`s alone. */
class Interner {
    private val indices = Object2IntOpenHashMap<String>().apply { defaultReturnValue(UNKNOWN) }
    private val names = ArrayList<String>()

    val size: Int get() = names.size

    /** The index of [name], handing out the next free one when the name is new. */
    fun intern(name: String): Int {
        val known = indices.getInt(name)
        if (known != UNKNOWN) return known
        val index = names.size
        indices.put(name, index)
        names.add(name)
        return index
    }

    /** The index of [name], or [UNKNOWN]; never hands one out. */
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
