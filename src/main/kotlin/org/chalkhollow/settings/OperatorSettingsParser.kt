package org.chalkhollow.settings

import com.google.protobuf.DescriptorProtos.DescriptorProto
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto
import com.google.protobuf.DescriptorProtos.FileDescriptorProto
import com.google.protobuf.Descriptors
import com.google.protobuf.DynamicMessage
import com.google.protobuf.TextFormat
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * Reads [OperatorSettings] from protobuf text format. The schema is built here instead of being generated, so that the
 * build needs no protoc. An unknown field is an error that names its line and column.
 */
object OperatorSettingsParser {
    private const val MESSAGE = "OperatorSettings"
    private const val MAX_LEASE_MS = 600_000.0
    private const val MIN_LEASE_MS = 500.0
    private const val MIN_RENEWAL_MS = 100.0
    private const val MAX_RENEWAL_MS = 100_000.0
    private const val MAX_OUTAGE_MS = 3_600_000.0
    private const val MAX_SAMPLE_SIZE = 100_000.0
    private const val MAX_IDLE_S = 86_400.0
    private const val MAX_FACTOR = 100.0
    private const val MAX_PASSED_OVER_S = 1e6
    private const val MAX_SPARE_MACHINES = 10_000.0
    private const val MAX_MACHINES = 1e6

    /** A field of the schema and the range of its values. Its field number is its position in [fields], from 1. */
    private class Field(val name: String, val type: FieldDescriptorProto.Type, val min: Double, val max: Double)

    private val INT = FieldDescriptorProto.Type.TYPE_INT64
    private val NUMBER = FieldDescriptorProto.Type.TYPE_DOUBLE

    private val fields =
        listOf(
            Field("sample_size", INT, 1.0, MAX_SAMPLE_SIZE),
            Field("leader_lease_ms", INT, MIN_LEASE_MS, MAX_LEASE_MS),
            Field("leader_renew_ms", INT, MIN_RENEWAL_MS, MAX_RENEWAL_MS),
            Field("promise_ms", INT, MIN_LEASE_MS, MAX_LEASE_MS),
            Field("outage_limit_ms", INT, 0.0, MAX_OUTAGE_MS),
            Field("idle_return_s", NUMBER, 1.0, MAX_IDLE_S),
            Field("standby_share", NUMBER, 0.0, MAX_FACTOR),
            Field("urgent_reserve", NUMBER, 0.0, MAX_FACTOR),
            Field("patience_s", NUMBER, 1.0, MAX_PASSED_OVER_S),
            Field("patience_share", NUMBER, 0.0, 1.0),
            Field("spare_machines", INT, 0.0, MAX_SPARE_MACHINES),
            Field("max_machines", INT, 0.0, MAX_MACHINES),
        )

    /** Reads and checks the file at [path]; throws [InvalidSettingsException]. */
    fun load(path: Path): OperatorSettings {
        val text =
            try {
                Files.readString(path)
            } catch (e: IOException) {
                throw InvalidSettingsException("$path: cannot be read", e)
            }
        return parse(text, path.toString())
    }

    /** Parses and checks [text]. Throws an [InvalidSettingsException] that names [source]. */
    fun parse(text: String, source: String): OperatorSettings {
        val message = Message(DynamicMessage.newBuilder(schema()), source)
        try {
            TextFormat.getParser().merge(text, message.builder)
        } catch (e: TextFormat.ParseException) {
            throw InvalidSettingsException("$source: line ${e.line}, column ${e.column}: ${oneLine(e)}", e)
        }
        val settings = settings(message)
        if (settings.leaderRenewMs * 2 > settings.leaderLeaseMs) {
            throw InvalidSettingsException("$source: field leader_renew_ms must be at most half of leader_lease_ms")
        }
        return settings
    }

    private fun settings(message: Message): OperatorSettings {
        val defaults = OperatorSettings()
        return OperatorSettings(
            sampleSize = message.int("sample_size", defaults.sampleSize),
            leaderLeaseMs = message.long("leader_lease_ms", defaults.leaderLeaseMs),
            leaderRenewMs = message.long("leader_renew_ms", defaults.leaderRenewMs),
            followerLeaseMs = message.long("promise_ms", defaults.followerLeaseMs),
            outageLimitMs = message.long("outage_limit_ms", defaults.outageLimitMs),
            maxIdleS = message.number("idle_return_s", defaults.maxIdleS),
            standbyCostFraction = message.number("standby_share", defaults.standbyCostFraction),
            urgentHeadroomFactor = message.number("urgent_reserve", defaults.urgentHeadroomFactor),
            maxPassedOverS = message.number("patience_s", defaults.maxPassedOverS),
            creditCpuFraction = message.number("patience_share", defaults.creditCpuFraction),
            spareMachines = message.int("spare_machines", defaults.spareMachines),
            maxMachines = message.int("max_machines", defaults.maxMachines),
        )
    }

    /** A message that was parsed from [source]. Functions that read a field check its range. */
    private class Message(val builder: DynamicMessage.Builder, private val source: String) {
        fun int(name: String, default: Int): Int = value(name)?.toInt() ?: default

        fun long(name: String, default: Long): Long = value(name)?.toLong() ?: default

        fun number(name: String, default: Double): Double = value(name)?.toDouble() ?: default

        private fun value(name: String): Number? {
            val descriptor = builder.descriptorForType.findFieldByName(name)
            if (!builder.hasField(descriptor)) return null
            val number = builder.getField(descriptor) as Number
            val field = fields.first { it.name == name }
            if (number.toDouble() < field.min || number.toDouble() > field.max) {
                throw InvalidSettingsException("$source: field $name is out of range (${field.min} to ${field.max})")
            }
            return number
        }
    }

    /** The parser's message on one line, without the position that it begins with. */
    private fun oneLine(e: TextFormat.ParseException): String =
        e.message
            .orEmpty()
            .substringAfter(": ")
            .lines()
            .joinToString(" ") { it.trim() }

    private fun schema(): Descriptors.Descriptor {
        val message = DescriptorProto.newBuilder().setName(MESSAGE)
        fields.forEachIndexed { i, field -> message.addField(descriptor(field, i + 1)) }
        val file = FileDescriptorProto.newBuilder().setName("operator.proto").setSyntax("proto2")
        return Descriptors.FileDescriptor
            .buildFrom(file.addMessageType(message).build(), emptyArray())
            .findMessageTypeByName(MESSAGE)
    }

    private fun descriptor(field: Field, number: Int): FieldDescriptorProto.Builder =
        FieldDescriptorProto
            .newBuilder()
            .setName(field.name)
            .setNumber(number)
            .setType(field.type)
            .setLabel(FieldDescriptorProto.Label.LABEL_OPTIONAL)
}
