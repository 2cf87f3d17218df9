package org.chalkhollow.core

import org.chalkhollow.model.Resources
import org.chalkhollow.model.Team

/** Owns what each team uses, counting every attempt that may be on a machine, against its guarantee and its limit. */
class Quotas(private val teams: List<Team>) {
    private val cpus = DoubleArray(teams.size)
    private val cards = DoubleArray(teams.size)

    fun clear() {
        cpus.fill(0.0)
        cards.fill(0.0)
    }

    fun add(team: Int, each: Resources, count: Int = 1) {
        if (team < 0) return // a team that the settings no longer name: its jobs wait
        cpus[team] += each.cpus * count
        cards[team] += each.cards * count
    }

    fun remove(team: Int, each: Resources) = add(team, each, -1)

    /** How many more tasks of this size the team's limit allows, on top of [extra]. */
    fun headroom(team: Int, each: Resources, extra: Resources): Int =
        if (team <
            0
        ) {
            0
        } else {
            count(
                teams[team].cpusMax - cpus[team] - extra.cpus,
                teams[team].cardsMax - cards[team] - extra.cards,
                each,
            )
        }

    /** Whether this much fits into what the team is guaranteed. */
    fun guarantees(team: Int, cpus: Double, cards: Double): Boolean =
        team >= 0 && cpus <= teams[team].cpus + Resources.EPSILON && cards <= teams[team].cards + Resources.EPSILON

    /** CPUs that the team uses. */
    fun cpusOf(team: Int): Double = cpus[team]

    /** Whether the team runs more than its guarantee. */
    fun beyond(team: Int): Boolean =
        cpus[team] > teams[team].cpus + Resources.EPSILON || cards[team] > teams[team].cards + Resources.EPSILON

    /** Whether one task of this size could ever be allowed. */
    fun possible(team: Int, each: Resources): Boolean = count(teams[team].cpusMax, teams[team].cardsMax, each) > 0

    private fun count(cpusLeft: Double, cardsLeft: Double, each: Resources): Int =
        Resources(each.cpus, each.cards, 0.0).countIn(Resources(maxOf(0.0, cpusLeft), maxOf(0.0, cardsLeft), 0.0))
}
