package routing

import "time"

// Action is a message or an audit record for the control goroutine to process.
type Action interface{ action() }

// ColdNotice informs the VMs that share an upstream that it was observed to be
// cold.
type ColdNotice struct {
	Upstream string
	// Instance is the upstream's instance ID, if it reports one.
	Instance string
	// Age is the time from the observation until the notice is sent.
	Age time.Duration
}

// RampNotice informs the VMs that share an upstream of its ramp stage.
type RampNotice struct {
	Upstream string
	// Instance is the upstream's instance ID, if it reports one.
	Instance string
	// Stage is the ramp stage. At stage s all VMs together may run 2^s times
	// the cold permits. A stage after the last one means that the upstream is
	// warm.
	Stage int
	// Age is the time from the start of the latest request that supports this
	// stage until the notice is sent.
	Age time.Duration
}

// Audit records a change for the audit trail.
type Audit struct {
	// At is the time of the change.
	At time.Time
	// Subject is an upstream's ID, a zone's name or a VM's ID.
	Subject string
	Change  Change
	Cause   Cause
}

func (ColdNotice) action() {}
func (RampNotice) action() {}
func (Audit) action()      {}

// Change says what happened to the subject of an Audit.
type Change string

// The changes of an Audit.
const (
	ChangeDrained     Change = "drained"
	ChangeReturned    Change = "returned"
	ChangeCold        Change = "cold"
	ChangeRampStage   Change = "ramp_stage"
	ChangeWarm        Change = "warm"
	ChangeSuspected   Change = "suspected"
	ChangeRecovered   Change = "recovered"
	ChangeShares      Change = "shares_changed"
	ChangeViewStale   Change = "view_stale"
	ChangeViewCurrent Change = "view_current"
)

// Cause says why the subject of an Audit changed.
type Cause string

// The causes of an Audit. CauseRemoved also stands for a replica that was
// replaced under its ID, for example with a new address, and CauseVMList for a
// change of this VM's home or fallback zone that the catalog caused.
const (
	CauseOperatorUpstream Cause = "operator_drains_upstream"
	CauseOperatorZone     Cause = "operator_takes_zone_out"
	CauseOperatorReturn   Cause = "operator_returns"
	CauseRemoved          Cause = "removed_from_catalog"
	CauseFirstSeen        Cause = "first_seen"
	CauseNewInstance      Cause = "new_instance"
	CauseColdAnswer       Cause = "cold_answer"
	CauseConnectFailed    Cause = "connect_failed"
	CauseConnectionLost   Cause = "connection_lost"
	CauseSlow             Cause = "slow_answers"
	CauseNoAnswer         Cause = "no_answer"
	CauseErrors           Cause = "error_answers"
	CauseUpstreamDrains   Cause = "upstream_says_draining"
	CauseSilence          Cause = "silence"
	CauseAnswers          Cause = "good_answers"
	CauseShed             Cause = "shed"
	CausePeerNotice       Cause = "peer_notice"
	CauseVMList           Cause = "vm_list"
	CauseHoldDownOver     Cause = "hold_down_over"
	CauseViewAge          Cause = "view_age"
)
