package org.shallothold.gateway.forward.peer;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.shallothold.wire.proto.CompactEvidence;
import org.shallothold.wire.proto.CrashEvidence;
import org.shallothold.wire.proto.EngineEnd;
import org.shallothold.wire.proto.PartSuccess;
import org.shallothold.wire.proto.PartSuspicion;
import org.shallothold.wire.proto.PrefixRead;
import org.shallothold.wire.proto.ServerReads;
import org.shallothold.wire.proto.WorkChanges;

/**
 * Encodes prompt parts and crash evidence by server instead of one by one, for peers that
 * understand it, and back. Both forms state the same facts.
 */
final class CompactForm {

  private CompactForm() {}

  /** Identifies the end of an engine within one message. */
  private record End(String serverId, long ageMillis) {}

  /** Returns a message in the compact form. */
  static WorkChanges compact(WorkChanges changes) {
    WorkChanges.Builder compact =
        changes.toBuilder()
            .clearPrefixReads()
            .clearCrashEvidence()
            .addAllReadsByServer(byServer(changes.getPrefixReadsList()));
    if (changes.hasCrashEvidence()) {
      compact.setCompactEvidence(compact(changes.getCrashEvidence()));
    }
    return compact.build();
  }

  /** Returns a message in the form that all peers understand. */
  static WorkChanges expand(WorkChanges changes) {
    if (changes.getReadsByServerCount() == 0 && !changes.hasCompactEvidence()) {
      return changes;
    }
    WorkChanges.Builder expanded =
        changes.toBuilder()
            .clearReadsByServer()
            .clearCompactEvidence()
            .addAllPrefixReads(expandReads(changes.getReadsByServerList()));
    if (changes.hasCompactEvidence()) {
      expanded.setCrashEvidence(expand(changes.getCompactEvidence()));
    }
    return expanded.build();
  }

  /** Groups prompt parts by server. */
  static List<ServerReads> byServer(Collection<PrefixRead> reads) {
    Map<String, ServerReads.Builder> byServer = new LinkedHashMap<>();
    for (PrefixRead read : reads) {
      byServer
          .computeIfAbsent(
              read.getServerId(), server -> ServerReads.newBuilder().setServerId(server))
          .addChainHashes(read.getChainHash())
          .addTokens(read.getTokens());
    }
    return byServer.values().stream().map(ServerReads.Builder::build).toList();
  }

  /** Returns grouped prompt parts one by one. */
  static List<PrefixRead> expandReads(Collection<ServerReads> readsByServer) {
    return readsByServer.stream().flatMap(CompactForm::expand).toList();
  }

  private static Stream<PrefixRead> expand(ServerReads reads) {
    int count = Math.min(reads.getChainHashesCount(), reads.getTokensCount());
    return IntStream.range(0, count)
        .mapToObj(
            i ->
                PrefixRead.newBuilder()
                    .setServerId(reads.getServerId())
                    .setChainHash(reads.getChainHashes(i))
                    .setTokens(reads.getTokens(i))
                    .build());
  }

  /** Groups suspicions by the end of the engine. */
  static CompactEvidence compact(CrashEvidence evidence) {
    CompactEvidence.Builder compact = CompactEvidence.newBuilder();
    evidence.getSuspicionsList().stream()
        .collect(
            Collectors.groupingBy(
                suspicion -> new End(suspicion.getServerId(), suspicion.getCrashAgeMillis()),
                LinkedHashMap::new,
                Collectors.toList()))
        .forEach((end, suspicions) -> compact.addEnds(compact(end, suspicions)));
    evidence
        .getSuccessesList()
        .forEach(
            success ->
                compact
                    .addAnsweredPartIds(success.getPartId())
                    .addAnswerAgeMillis(success.getAgeMillis()));
    return compact.build();
  }

  private static EngineEnd compact(End end, List<PartSuspicion> suspicions) {
    EngineEnd.Builder compact =
        EngineEnd.newBuilder().setServerId(end.serverId()).setAgeMillis(end.ageMillis());
    suspicions.forEach(
        suspicion ->
            compact
                .addPartIds(suspicion.getPartId())
                .addSentBeforeMillis(suspicion.getSentAgeMillis() - end.ageMillis()));
    return compact.build();
  }

  /** Returns grouped evidence one by one. */
  static CrashEvidence expand(CompactEvidence compact) {
    CrashEvidence.Builder evidence = CrashEvidence.newBuilder();
    compact.getEndsList().stream().flatMap(CompactForm::expand).forEach(evidence::addSuspicions);
    int answers = Math.min(compact.getAnsweredPartIdsCount(), compact.getAnswerAgeMillisCount());
    for (int i = 0; i < answers; i++) {
      evidence.addSuccesses(
          PartSuccess.newBuilder()
              .setPartId(compact.getAnsweredPartIds(i))
              .setAgeMillis(compact.getAnswerAgeMillis(i)));
    }
    return evidence.build();
  }

  private static Stream<PartSuspicion> expand(EngineEnd end) {
    int parts = Math.min(end.getPartIdsCount(), end.getSentBeforeMillisCount());
    return IntStream.range(0, parts)
        .mapToObj(
            i ->
                PartSuspicion.newBuilder()
                    .setPartId(end.getPartIds(i))
                    .setServerId(end.getServerId())
                    .setCrashAgeMillis(end.getAgeMillis())
                    .setSentAgeMillis(end.getAgeMillis() + end.getSentBeforeMillis(i))
                    .build());
  }
}
