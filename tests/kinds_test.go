package tests

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"
)

// kind is a kind of trouble that may come on the users' platform, with what proves that opaque flows stand it.
type kind struct {
	name string
	// holds is what must hold.
	holds string
	// tests are tests without the users' bench.
	tests []string
}

// kinds are all kinds of trouble, by the names that the day files use.
var kinds = []kind{
	{"burst", "the excess waits or is refused at once; nobody is mixed up", []string{"internal/pace.TestCrestCostsOnlyTheExcess", "internal/deliv.TestUnusedFlowsCountAsLoad"}},
	{"shift", "as burst, in one failure domain", []string{"internal/pick.TestSingleRequestsStayNearWhileTheWaitIsShort"}},
	{"srv_crash", "callers of lost flows are told at once; new flows go elsewhere", []string{"internal/deliv.TestClientsLearnThatTheServerStartedAgain", "internal/deliv.TestFlowOfACrashedServerIsReset", "internal/server.TestUnansweredOpens"}},
	{"srv_grey", "a server that answers implausibly fast is taken last", []string{"internal/pick.TestImplausiblyFastServerIsTakenLast", "internal/pick.TestFairServersAreNotSuspected"}},
	{"srv_lying_health", "what flows do counts, not what health checks say", []string{"internal/pick.TestImplausiblyFastServerIsTakenLast"}},
	{"srv_flap", "each start of a server is one of its own", []string{"internal/server.TestRestartUnderTheSameName", "internal/deliv.TestFlowOfACrashedServerIsReset"}},
	{"srv_cut", "a server out of touch keeps its flows; an agent unheard gets no new ones", []string{"internal/seek.TestMissingAnswerIsNoDenial", "internal/memb.TestAgentsAreReadyWhileHeartbeatsArrive"}},
	{"release", "no new flow after the acknowledgement; open flows stay", []string{"internal/deliv.TestDrainingServerGetsNoNewFlow", "internal/server.TestDrainingStays", "TestOpaqueCheck"}},
	{"replace_with_reuse", "no flow reaches another service", []string{"internal/deliv.TestFlowOfAnotherServiceIsNotDelivered", "internal/server.TestDelayedHeartbeatOfAnEarlierStart"}},
	{"scale_out", "a cold server counts as slower", []string{"internal/pick.TestColdServerCountsAsSlower"}},
	{"scale_in", "as release; a server that goes early ends its flows at once", []string{"internal/deliv.TestClientsLearnThatTheServerLeft"}},
	{"node_kill", "open flows are carried again", []string{"TestOpenFlowsAreCarriedAfterKills", "internal/relay.TestFlowIsFoundByAList"}},
	{"node_freeze", "the silence of a process that stood still is none of others", []string{"internal/memb.TestOwnPauseDoesNotSilencePeers", "internal/server.TestPauseOfTheAgentIsNoSilence"}},
	{"node_slow", "as node_freeze", []string{"internal/memb.TestOwnPauseDoesNotSilencePeers"}},
	{"roll_term", "planned work breaks no flow", []string{"TestOpaqueCheck", "internal/memb.TestPlannedStopIsNotAFailure", "internal/memb.TestAgentKeepsItsLeaseAtAPlannedStop"}},
	{"herd_kill", "open flows are carried again; service recovers", []string{"TestOpenFlowsAreCarriedAfterKills", "internal/deliv.TestSavedListIsTakenOver"}},
	{"add_nodes", "an entry serves once it could serve a new flow", []string{"internal/memb.TestAgentsAreNotAllKnownRightAfterStart", "internal/relay.TestReadyOnlyWhenAFlowCouldBeServed"}},
	{"core_cut", "an entry that is cut off resets nothing", []string{"internal/relay.TestEntryAloneResetsNothing", "internal/memb.TestAgentsAreNotAllKnownWithFewHeartbeats"}},
	{"node_cut", "as core_cut", []string{"internal/relay.TestIncompleteListDeniesNothing"}},
	{"lossy", "copies of an opening packet go elsewhere; lost answers deny nothing", []string{"internal/relay.TestCopyOfAnOpeningPacketGoesElsewhere", "internal/relay.TestIncompleteListDeniesNothing"}},
	{"platform_down", "all goes on without the store; lapsed entries are listed again", []string{"platform.TestFailures", "internal/memb.TestMissingEntryIsListedAgain", "TestSoak"}},
	{"platform_slow", "every call has a time-out", []string{"platform.TestFailures"}},
	{"platform_lost", "a write may come twice", []string{"platform.TestLostAnswer"}},
	{"platform_compact", "a configuration in force is never older than allowed", []string{"platform.TestWatch", "internal/fresh.TestFleetSharesReads"}},
	{"config_change", "in force in time, and never taken back", []string{"internal/deliv.TestRemovedRouteIsNotDelivered", "internal/memb.TestConfigurationDoesNotRegress"}},
	{"config_storm", "as config_change", []string{"internal/memb.TestConfigurationDoesNotRegress", "TestSoak"}},
	{"big_config", "as config_change", []string{"platform.TestConfigGolden"}},
	{"after_ack_kill", "what was acknowledged holds for the next process", []string{"internal/deliv.TestNewFlowsNeedAHeartbeat", "internal/server.TestNothingIsTakenBeforeTheFirstHeartbeat"}},
	{"clock_step", "nothing rests on the time of day but a server's birth", []string{"internal/server.TestStartAfterAClockStep", "internal/memb.TestProcessRaisesItsIncarnation"}},
	{"hup", "settings are read again, and nothing ends", []string{"TestSoak"}},
	{"reset_conns", "the next call opens a new connection", []string{"platform.TestFailures"}},
}

// playDay is what the table reads of a day file.
type playDay struct {
	Plan, Faults []struct {
		Kind string `toml:"kind"`
	}
}

// combined returns the day files that play each kind together with others.
func combined() (map[string][]string, error) {
	files, err := filepath.Glob("../deploy/days/*.toml")
	if err != nil {
		return nil, err
	}
	out := make(map[string][]string)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var d playDay
		if err := toml.Unmarshal(text, &d); err != nil {
			return nil, err
		}
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		for _, e := range append(d.Plan, d.Faults...) {
			if names := out[e.Kind]; len(names) == 0 || names[len(names)-1] != name {
				out[e.Kind] = append(names, name)
			}
		}
	}
	return out, nil
}

// dayFile returns the file of the day that plays a kind alone.
func (k kind) dayFile() string { return strings.ReplaceAll(k.name, "_", "-") }

// Each kind of trouble has a day that plays it alone, and one that plays it with others.
func TestEveryKindHasDays(t *testing.T) {
	is := is.New(t)
	with, err := combined()
	is.NoErr(err)
	for _, k := range kinds {
		text, err := os.ReadFile("../deploy/kinds/" + k.dayFile() + ".toml")
		is.NoErr(err)
		var d playDay
		is.NoErr(toml.Unmarshal(text, &d))
		entries := append(d.Plan, d.Faults...)
		is.True(len(entries) >= 2) // It comes more than once.
		for _, e := range entries {
			is.Equal(e.Kind, k.name)
		}
		if len(with[k.name]) == 0 {
			t.Errorf("no day of deploy/days has %s", k.name)
		}
	}
}

// writeKinds writes the table of kinds of trouble.
func writeKinds(b *strings.Builder) error {
	with, err := combined()
	if err != nil {
		return err
	}
	b.WriteString("# Opaque flows\n\n")
	b.WriteString("Kinds of trouble on the users' platform, made from tests/kinds_test.go. Each is played alone and\n")
	b.WriteString("more than once by a day of its own under deploy/kinds/, and together with others by days under deploy/days/, which hunts\n")
	b.WriteString("vary. No day broke a rule; the figures stand in journal/.\n\n")
	b.WriteString("| kind | what must hold | alone | with others | tests without the bench |\n| --- | --- | --- | --- | --- |\n")
	for _, k := range kinds {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", k.name, k.holds, k.dayFile(), strings.Join(with[k.name], ", "), strings.Join(k.tests, ", "))
	}
	return nil
}
