package org.chalkhollow.wire

import org.chalkhollow.model.Change
import org.chalkhollow.model.Condition
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.KeyValuePage
import org.chalkhollow.model.ListedMachine
import org.chalkhollow.model.ListedPage
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources

/**
 * Encodes and decodes the bodies of calls to the state service and to the cloud, and of their replies. Functions that
 * take a body throw [MalformedMessageException]. Values whose names end in `S` are in seconds.
 */
object ServiceCodec {
    /** The body of a compare-and-swap: [changes] are applied if all [conditions] hold. */
    fun commit(conditions: List<Condition>, changes: List<Change>): Map<String, Any?> =
        mapOf(
            "if" to conditions.map { mapOf("key" to it.key, "stamp" to it.revision) },
            "apply" to changes.map(::change),
        )

    private fun change(change: Change): Map<String, Any?> =
        when (val value = change.value) {
            null -> mapOf("remove" to change.key)
            else -> mapOf("set" to change.key, "value" to value)
        }

    /** The revision of the keys that a compare-and-swap changed. */
    fun revision(body: ByteArray): Long = Pack.decodeMap(body).long("ledger")

    /** The keys whose conditions did not hold in a compare-and-swap. */
    fun failedKeys(body: ByteArray): List<String> = Pack.decodeMap(body).texts("failed")

    /** The value and the revision of [key]. */
    fun keyValue(key: String, body: ByteArray): KeyValue {
        val fields = Pack.decodeMap(body)
        return KeyValue(key, fields.map["value"], fields.long("stamp"))
    }

    fun page(body: ByteArray): KeyValuePage {
        val fields = Pack.decodeMap(body)
        val rows = fields.maps("rows").map { KeyValue(it.text("key"), it.map["value"], it.long("stamp")) }
        return KeyValuePage(rows, fields.flag("more"))
    }

    fun catalog(body: ByteArray): List<MachineType> =
        Pack.decodeMap(body).maps("flavours").map { fields ->
            MachineType(
                name = fields.text("sku"),
                capacity =
                    Resources(
                        fields.amount("vcpus"),
                        fields.numberOrNull("cards") ?: 0.0,
                        fields.amount("memoryGb"),
                    ),
                imageGbPerS = fields.numberOrNull("pullGbPerS") ?: 0.1,
                cacheGb = fields.numberOrNull("localGb") ?: 0.0,
                price = fields.amount("price"),
                spotPrice = fields.numberOrNull("lowPrice") ?: fields.amount("price"),
                bootS = fields.numberOrNull("readyS") ?: 60.0,
                zones = fields.texts("sites"),
            )
        }

    /** The body of a call that rents [count] machines. The cloud executes a [requestName] at most once. */
    fun rent(requestName: String, type: String, zone: String, spot: Boolean, count: Int): Map<String, Any?> =
        mapOf("booking" to requestName, "flavour" to type, "site" to zone, "standby" to spot, "number" to count)

    /** The names of the machines that were rented. */
    fun rented(body: ByteArray): List<String> = Pack.decodeMap(body).texts("hosts")

    fun delete(names: List<String>): Map<String, Any?> = mapOf("hosts" to names)

    fun machines(body: ByteArray): ListedPage {
        val fields = Pack.decodeMap(body)
        return ListedPage(fields.maps("hosts").map(::listed), fields.flag("more"))
    }

    private fun listed(fields: Fields) =
        ListedMachine(
            name = fields.text("nameId"),
            address = fields.textOrNull("address") ?: "",
            type = fields.text("flavour"),
            zone = fields.text("site"),
            spot = fields.flag("standby"),
            status =
                when (fields.text("status")) {
                    "starting" -> ListedMachine.Status.STARTING
                    "running" -> ListedMachine.Status.RUNNING
                    "failed" -> ListedMachine.Status.FAILED
                    else -> Fields.invalid("status")
                },
            ageS = fields.numberOrNull("ageS") ?: 0.0,
        )

    /** The reason why the cloud rejected a call, or null if the reply contains none. */
    fun errorOrNull(body: ByteArray): String? = Pack.decodeMap(body).textOrNull("error")
}
