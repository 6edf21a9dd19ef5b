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

// eventKind is a kind of event in the test bench of the platform, such as a fault, a planned operation or a load peak,
// with the tests that show that opaque flows withstand it.
type eventKind struct {
	name string
	// requirement is what must hold during the event.
	requirement string
	// tests cover the kind without the test bench of the platform.
	tests []string
}

// eventKinds are all kinds of events, named as in the day files, the scenarios of the test bench.
var eventKinds = []eventKind{
	{"burst", "the excess waits or is refused at once; nobody is mixed up", []string{"internal/pace.TestOverloadDelaysOnlyExcessRequests", "internal/deliv.TestAcceptedFlowsCountAsLoad"}},
	{"shift", "as burst, in one failure domain", []string{"internal/pick.TestRequestsPreferSameDomainWhileWaitIsShort"}},
	{"srv_crash", "callers of lost flows are told at once; new flows go elsewhere", []string{"internal/deliv.TestServerRestartResetsClients", "internal/deliv.TestFlowOfACrashedServerIsReset", "internal/server.TestUnansweredOpens"}},
	{"srv_grey", "a server that answers implausibly fast is taken last", []string{"internal/pick.TestImplausiblyFastServerIsChosenLast", "internal/pick.TestHealthyServersAreNotSuspected"}},
	{"srv_lying_health", "what flows do counts, not what health checks say", []string{"internal/pick.TestImplausiblyFastServerIsChosenLast"}},
	{"srv_flap", "each start of a server is one of its own", []string{"internal/server.TestRestartWithSameIDIsDetected", "internal/deliv.TestFlowOfACrashedServerIsReset"}},
	{"srv_cut", "a server out of touch keeps its flows; an agent unheard gets no new ones", []string{"internal/seek.TestFlowIsNotLostWhileReplyIsMissing", "internal/memb.TestAgentIsReadyOnlyAfterHeartbeat"}},
	{"release", "no new flow after the acknowledgement; open flows stay", []string{"internal/deliv.TestDrainingServerGetsNoNewFlow", "internal/server.TestHeartbeatDoesNotEndDraining", "TestOpaqueCheck"}},
	{"replace_with_reuse", "no flow reaches another service", []string{"internal/deliv.TestFlowOfAnotherServiceIsNotDelivered", "internal/server.TestHeartbeatOfEarlierStartIsRejected"}},
	{"scale_out", "a cold server counts as slower", []string{"internal/pick.TestColdServerCountsAsSlower"}},
	{"scale_in", "as release; a server that leaves keeps its flows until it has ended, and their callers are told then", []string{"internal/deliv.TestServerWithdrawalResetsClientsOnceItHasEnded"}},
	{"node_kill", "open flows are carried again", []string{"TestOpenFlowsSurviveProcessKills", "internal/relay.TestFlowIsFoundByAList"}},
	{"node_freeze", "the silence of a process that stood still is none of others; a process that stands still hasn't failed", []string{"TestOpenFlowsSurviveStandstillOfAgents", "internal/memb.TestSilenceOfRunningInstanceIsNotAFailure", "internal/memb.TestOwnPauseDoesNotMarkPeersSilent", "internal/server.TestAgentPauseIsNotCountedAsMissingHeartbeats"}},
	{"node_slow", "as node_freeze", []string{"internal/memb.TestOwnPauseDoesNotMarkPeersSilent"}},
	{"roll_term", "planned work breaks no flow", []string{"TestOpaqueCheck", "TestStoppingEntryForwardsWhileInRotation", "internal/memb.TestPlannedStopIsNotAFailure", "internal/memb.TestAgentKeepsItsLeaseAtAPlannedStop"}},
	{"herd_kill", "open flows are carried again; service recovers; searches leave the links to traffic", []string{"TestOpenFlowsSurviveProcessKills", "TestOpenFlowsSurviveReuseOfPorts", "internal/relay.TestSearchesLeaveLinkToTraffic", "internal/deliv.TestRestartedAgentLoadsSavedFlowList"}},
	{"add_nodes", "an entry serves once it could serve a new flow", []string{"internal/memb.TestAgentsAreNotAllKnownRightAfterStart", "internal/relay.TestReadyRequiresConfigurationAndAgents"}},
	{"core_cut", "an entry that is cut off resets nothing", []string{"internal/relay.TestIsolatedEntryDoesNotResetFlows", "internal/memb.TestAgentsAreNotAllKnownWithFewHeartbeats"}},
	{"node_cut", "as core_cut", []string{"internal/relay.TestIncompleteListDoesNotDenyFlow"}},
	{"lossy", "copies of an opening packet go elsewhere; lost answers deny nothing", []string{"internal/relay.TestRetransmittedSYNGoesToAnotherAgent", "internal/relay.TestIncompleteListDoesNotDenyFlow"}},
	{"platform_down", "all goes on without the store; lapsed entries are listed again, also if it returns from an older copy", []string{"platform.TestFailures", "platform.TestReusedRevisionIsAnotherConfiguration", "internal/keeper.TestKeysSurviveLossesOfStore", "internal/memb.TestLostRecordIsRegisteredAgainAtOnce", "internal/memb.TestRemovedRecordIsRegisteredAgain", "TestSoak"}},
	{"platform_slow", "every call has a time-out", []string{"platform.TestFailures"}},
	{"platform_lost", "a write may come twice, or late", []string{"platform.TestWriteTakesEffectIfResponseIsLost", "platform.TestLateWriteDoesNotReplaceNewerList"}},
	{"platform_compact", "a configuration in force is never older than allowed", []string{"platform.TestWatch", "internal/fresh.TestProcessesShareConfigurationReads"}},
	{"config_change", "in force in time, and never taken back", []string{"internal/deliv.TestFlowOfRemovedRouteIsNotDelivered", "internal/memb.TestConfigurationDoesNotRegress"}},
	{"config_storm", "as config_change", []string{"internal/memb.TestConfigurationDoesNotRegress", "TestSoak"}},
	{"big_config", "as config_change", []string{"platform.TestConfigGolden"}},
	{"after_ack_kill", "what was acknowledged holds for the next process", []string{"internal/deliv.TestNewFlowsArePassedOnBeforeFirstHeartbeat", "internal/server.TestNewFlowsAreRefusedBeforeFirstHeartbeat"}},
	{"clock_step", "no flow is reset or denied by the time of day", []string{"internal/deliv.TestServerIsNotNewByItsStartTime", "internal/deliv.TestDelayedHeartbeatWithLaterStartTimeKeepsFlows", "internal/server.TestStartIsAcceptedAfterClockStep", "internal/memb.TestProcessRaisesItsIncarnation"}},
	{"hup", "settings are read again, and nothing ends", []string{"TestSoak"}},
	{"reset_conns", "the next call opens a new connection", []string{"platform.TestFailures"}},
}

// daySchedule is the part of a day file that lists its events.
type daySchedule struct {
	Plan, Faults []struct {
		Kind string `toml:"kind"`
	}
}

// combinedDays returns, for each kind, the names of the day files under deploy/days that combine it with others.
func combinedDays() (map[string][]string, error) {
	files, err := filepath.Glob("../deploy/days/*.toml")
	if err != nil {
		return nil, err
	}
	days := make(map[string][]string)
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var schedule daySchedule
		if err := toml.Unmarshal(content, &schedule); err != nil {
			return nil, err
		}
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		for _, event := range append(schedule.Plan, schedule.Faults...) {
			if names := days[event.Kind]; len(names) == 0 || names[len(names)-1] != name {
				days[event.Kind] = append(names, name)
			}
		}
	}
	return days, nil
}

// soloDay returns the name of the day file under deploy/kinds that contains only this kind.
func (k eventKind) soloDay() string { return strings.ReplaceAll(k.name, "_", "-") }

// Each kind of event must have a day file that contains only this kind, and one that combines it with others.
func TestEveryKindHasDays(t *testing.T) {
	is := is.New(t)
	combined, err := combinedDays()
	is.NoErr(err)
	for _, k := range eventKinds {
		content, err := os.ReadFile("../deploy/kinds/" + k.soloDay() + ".toml")
		is.NoErr(err)
		var schedule daySchedule
		is.NoErr(toml.Unmarshal(content, &schedule))
		events := append(schedule.Plan, schedule.Faults...)
		is.True(len(events) >= 2) // The kind occurs more than once.
		for _, event := range events {
			is.Equal(event.Kind, k.name)
		}
		if len(combined[k.name]) == 0 {
			t.Errorf("no day file in deploy/days contains %s", k.name)
		}
	}
}

// writeEventKinds writes the section of docs/FAULTS.md with the table of event kinds.
func writeEventKinds(page *strings.Builder) error {
	combined, err := combinedDays()
	if err != nil {
		return err
	}
	page.WriteString("# Opaque flows\n\n")
	page.WriteString("Kinds of trouble on the users' platform, made from tests/kinds_test.go. Each is played alone and\n")
	page.WriteString("more than once by a day of its own under deploy/kinds/, and together with others by days under deploy/days/, which hunts\n")
	page.WriteString("vary. No day broke a rule; the figures stand in journal/.\n\n")
	page.WriteString("| kind | what must hold | alone | with others | tests without the bench |\n| --- | --- | --- | --- | --- |\n")
	for _, k := range eventKinds {
		fmt.Fprintf(page, "| %s | %s | %s | %s | %s |\n", k.name, k.requirement, k.soloDay(), strings.Join(combined[k.name], ", "), strings.Join(k.tests, ", "))
	}
	return nil
}
