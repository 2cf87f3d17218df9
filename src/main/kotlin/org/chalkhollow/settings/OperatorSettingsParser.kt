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
 * build needs no protoc; a field unknown to it is an error with its line and column.
 */
object OperatorSettingsParser {
    private class Field(val name: String, val type: FieldDescriptorProto.Type, val least: Double, val most: Double)

    private val INT = FieldDescriptorProto.Type.TYPE_INT64
    private val NUMBER = FieldDescriptorProto.Type.TYPE_DOUBLE

    private val fields =
        listOf(
            Field("sample_size", INT, 1.0, 100_000.0),
            Field("leader_lease_ms", INT, 500.0, 600_000.0),
            Field("leader_renew_ms", INT, 100.0, 100_000.0),
            Field("promise_ms", INT, 500.0, 600_000.0),
            Field("outage_limit_ms", INT, 0.0, 3_600_000.0),
            Field("idle_return_s", NUMBER, 1.0, 86_400.0),
            Field("standby_share", NUMBER, 0.0, 100.0),
            Field("urgent_reserve", NUMBER, 0.0, 100.0),
            Field("patience_s", NUMBER, 1.0, 1e6),
            Field("patience_share", NUMBER, 0.0, 1.0),
            Field("spare_machines", INT, 0.0, 10_000.0),
            Field("max_machines", INT, 0.0, 1e6),
        )

    fun load(path: Path): OperatorSettings {
        val text =
            try {
                Files.readString(path)
            } catch (e: IOException) {
                throw InvalidSettingsException("$path: cannot be read")
            }
        return parse(text, path.toString())
    }

    fun parse(text: String, source: String): OperatorSettings {
        val builder = DynamicMessage.newBuilder(schema())
        try {
            TextFormat.getParser().merge(text, builder)
        } catch (e: TextFormat.ParseException) {
            throw InvalidSettingsException("$source: line ${e.line}, column ${e.column}: ${oneLine(e)}")
        }
        val d = OperatorSettings()

        fun <T> read(name: String, default: T, convert: (Number) -> T): T =
            value(builder, name, source)?.let(convert) ?: default
        val s =
            OperatorSettings(
                sampleSize = read("sample_size", d.sampleSize) { it.toInt() },
                leaderLeaseMs = read("leader_lease_ms", d.leaderLeaseMs) { it.toLong() },
                leaderRenewMs = read("leader_renew_ms", d.leaderRenewMs) { it.toLong() },
                followerLeaseMs = read("promise_ms", d.followerLeaseMs) { it.toLong() },
                outageLimitMs = read("outage_limit_ms", d.outageLimitMs) { it.toLong() },
                idleReturnS = read("idle_return_s", d.idleReturnS) { it.toDouble() },
                standbyShare = read("standby_share", d.standbyShare) { it.toDouble() },
                urgentReserve = read("urgent_reserve", d.urgentReserve) { it.toDouble() },
                patienceS = read("patience_s", d.patienceS) { it.toDouble() },
                patienceShare = read("patience_share", d.patienceShare) { it.toDouble() },
                spareMachines = read("spare_machines", d.spareMachines) { it.toInt() },
                maxMachines = read("max_machines", d.maxMachines) { it.toInt() },
            )
        if (s.leaderRenewMs * 2 >
            s.leaderLeaseMs
        ) {
            throw InvalidSettingsException("$source: field leader_renew_ms must be at most half of leader_lease_ms")
        }
        return s
    }

    private fun oneLine(e: TextFormat.ParseException): String =
        e.message
            .orEmpty()
            .substringAfter(": ")
            .lines()
            .joinToString(" ") { it.trim() }

    private fun value(message: DynamicMessage.Builder, name: String, source: String): Number? {
        val field = message.descriptorForType.findFieldByName(name)
        if (!message.hasField(field)) return null
        val number = message.getField(field) as Number
        val rule = fields.first { it.name == name }
        if (number.toDouble() < rule.least || number.toDouble() > rule.most) {
            throw InvalidSettingsException("$source: field $name is out of range (${rule.least} to ${rule.most})")
        }
        return number
    }

    private fun schema(): Descriptors.Descriptor {
        val message = DescriptorProto.newBuilder().setName("OperatorSettings")
        fields.forEachIndexed { i, f ->
            message.addField(
                FieldDescriptorProto
                    .newBuilder()
                    .setName(f.name)
                    .setNumber(i + 1)
                    .setType(f.type)
                    .setLabel(FieldDescriptorProto.Label.LABEL_OPTIONAL),
            )
        }
        val file =
            FileDescriptorProto
                .newBuilder()
                .setName(
                    "operator.proto",
                ).setSyntax("proto2")
                .addMessageType(message)
        return Descriptors.FileDescriptor
            .buildFrom(
                file.build(),
                emptyArray(),
            ).findMessageTypeByName("OperatorSettings")
    }
}
