package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/rollout"
	"bramleygap/internal/platform"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

// operatorServer implements the Operator service.
type operatorServer struct {
	wire.UnimplementedOperatorServer
	manager *Manager
}

// Apply implements wire.OperatorServer.
func (o *operatorServer) Apply(ctx context.Context, request *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	response := o.manager.apply(ctx, request)
	o.manager.metrics.countOperator("apply", result.Code(response.GetCode()))
	return response, nil
}

// Status implements wire.OperatorServer.
func (o *operatorServer) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusResponse, error) {
	m := o.manager
	response := &wire.StatusResponse{StoreReachable: m.storeReachable.Load()}
	if m.options.Versions != nil {
		response.Versions = m.options.Versions.VersionStatus()
	}
	response.Versions = addWithdrawn(response.Versions, m.withdrawn.list())
	err := m.do(ctx, func(s *state) { s.fillStatus(response) })
	m.metrics.countOperator("status", result.OK)
	return response, err
}

// addWithdrawn adds the versions that were withdrawn without a rollout, and sets the state,
// share and reason of the others, whose rollout rows may not have them yet.
func addWithdrawn(versions []*wire.VersionStatus, withdrawals []*wire.WithdrawnVersion) []*wire.VersionStatus {
	versions = slices.Clone(versions)
	for _, withdrawal := range withdrawals {
		at := slices.IndexFunc(versions, func(v *wire.VersionStatus) bool {
			return v.GetService() == withdrawal.GetService() && v.GetVersion() == withdrawal.GetVersion()
		})
		status := &wire.VersionStatus{Service: withdrawal.GetService(), Version: withdrawal.GetVersion()}
		if at < 0 {
			versions = append(versions, status)
		} else {
			status = proto.CloneOf(versions[at])
			versions[at] = status
		}
		status.State, status.Share = string(rollout.Withdrawn), 0
		if withdrawal.GetReason() != "" {
			status.Reason = withdrawal.GetReason()
		}
	}
	return versions
}

func (s *state) fillStatus(response *wire.StatusResponse) {
	m := s.manager
	response.Missing = s.unacknowledged(adoption.RevisionOf(m.Config()))
	response.Targets = s.targetStates()
	for _, target := range m.Snapshot().Targets {
		if target.Suspected {
			response.Suspected = append(response.Suspected, target.Name)
		}
	}
	response.LeavingVms = s.leavingVMs()
	for _, node := range m.Nodes() {
		response.Nodes = append(response.Nodes, ackOf(node, 0))
	}
	config := m.Config()
	if config == nil {
		return
	}
	response.ConfigRevision = config.Revision
	response.ConfigOperator = config.Operator
	response.ConfigChangeId = config.ChangeID
	response.ConfigText = config.Text
	total := 0.0
	for _, tokens := range s.usage {
		total += tokens
	}
	for _, member := range config.Config.Members {
		status := &wire.MemberStatus{Member: member.Name, Share: member.Share}
		if total > 0 {
			status.Use = 100 * s.usage[member.Name] / total
		}
		response.Members = append(response.Members, status)
	}
}

// leavingVMs returns the VMs that get no new work and the reasons, sorted by id.
func (s *state) leavingVMs() []*wire.LeavingVm {
	reasons := make(map[string][]string)
	add := func(vm, reason string) { reasons[vm] = append(reasons[vm], reason) }
	for _, vm := range s.drained {
		add(vm, "drained")
	}
	if config := s.manager.Config(); config != nil {
		for _, vm := range config.Config.RetireVMs {
			add(vm, "retire_vms")
		}
	}
	for _, vm := range s.vms {
		if vm.State == platform.VMLeaving {
			add(vm.ID, "VM list")
		}
	}
	for _, agent := range s.view.States() {
		if agent.GetLeaving() && reasons[agent.GetVm()] == nil {
			add(agent.GetVm(), "agent")
		}
	}
	var vms []*wire.LeavingVm
	for _, vm := range slices.Sorted(maps.Keys(reasons)) {
		vms = append(vms, &wire.LeavingVm{Vm: vm, Reasons: reasons[vm]})
	}
	return vms
}

// targetStates returns the agents' reports with the leaving flag that this entry uses for
// placement, which is also set for retired and drained VMs.
func (s *state) targetStates() []*wire.AgentState {
	var states []*wire.AgentState
	for _, target := range s.manager.Snapshot().Targets {
		report := proto.CloneOf(s.view.State(target.Name))
		report.Leaving = target.Leaving
		states = append(states, report)
	}
	return states
}

// Drain implements wire.OperatorServer.
func (o *operatorServer) Drain(ctx context.Context, request *wire.DrainRequest) (*wire.DrainResponse, error) {
	running, err := o.manager.drain(ctx, request.GetVm(), request.GetUndo())
	code, message := codeOf(err)
	o.manager.metrics.countOperator("drain", code)
	return &wire.DrainResponse{Code: uint32(code), Message: message, Running: running}, nil
}

// codeOf returns the response code and message for err, which may be nil.
func codeOf(err error) (result.Code, string) {
	if err == nil {
		return result.OK, ""
	}
	coded := codedError(err)
	return coded.Code, coded.Message
}

// drainRow is the value of the table row drain/VM.
type drainRow struct {
	UnixMs int64 `json:"unix_ms"`
}

// drain marks a VM as leaving, or removes the mark, and returns the number of requests
// running there. This entry notifies peers and agents at once; the other entries also read
// the table row and notify the agents.
func (m *Manager) drain(ctx context.Context, vm string, undo bool) (uint32, error) {
	known, drained, running := false, false, uint32(0)
	if err := m.do(ctx, func(s *state) { known, drained, running = s.findVM(vm) }); err != nil {
		return 0, err
	}
	if !known && !(undo && drained) {
		return 0, result.New(result.UnknownVM, "no live VM has the id %q; bramleygap status lists the VM of each target", vm)
	}
	if m.options.Table == nil {
		return running, result.New(result.StoreUnavailable, "this entry has no table service")
	}
	if err := m.writeDrain(ctx, vm, undo); err != nil {
		return running, err
	}
	err := m.do(ctx, func(s *state) { s.markDrained(vm, undo) })
	signal(m.pushAll)
	return running, err
}

// findVM reports whether the VM is known or drained and how many requests run there.
func (s *state) findVM(id string) (known, drained bool, running uint32) {
	for _, vm := range s.vms {
		known = known || vm.ID == id
	}
	for _, agent := range s.view.States() {
		if agent.GetVm() == id {
			known = true
			running += agent.GetRunning()
		}
	}
	for _, vm := range s.drained {
		drained = drained || vm == id
	}
	return known, drained, running
}

func (s *state) markDrained(vm string, undo bool) {
	var next []string
	for _, id := range s.drained {
		if id != vm {
			next = append(next, id)
		}
	}
	if !undo {
		next = append(next, vm)
	}
	s.drainChanges++
	s.setDrained(union(next, nil))
}

// writeDrain writes or deletes the row. Both are idempotent, so the write is repeated after
// a lost response.
func (m *Manager) writeDrain(ctx context.Context, vm string, undo bool) error {
	key := drainPrefix + vm
	txn := platform.Txn{Deletes: []string{key}}
	if !undo {
		value, err := json.Marshal(drainRow{UnixMs: time.Now().UnixMilli()})
		if err != nil {
			return err
		}
		txn = platform.Txn{Puts: []platform.Put{{Key: key, Value: value}}}
	}
	var err error
	uncertain := false
	for attempt := 0; attempt < applyAttempts; attempt++ {
		if attempt > 0 && !sleep(ctx, jittered(applyRetryDelay)) {
			break
		}
		if _, err = m.commit(ctx, txn, "put_drain"); err == nil {
			return nil
		}
		uncertain = uncertain || !errors.Is(err, platform.ErrRefused)
	}
	if uncertain {
		return &result.Error{Code: result.OutcomeUnknown, Message: "the table service did not confirm the change; repeat the command: " + err.Error(), Cause: err}
	}
	return &result.Error{Code: result.StoreUnavailable, Message: "the table service refused the write, nothing was changed: " + err.Error(), Cause: err}
}

// VersionStart implements wire.OperatorServer.
func (o *operatorServer) VersionStart(ctx context.Context, request *wire.VersionStartRequest) (*wire.VersionResponse, error) {
	code, message := codeOf(o.manager.startVersion(ctx, request, uuid.NewString()))
	o.manager.metrics.countOperator("version_start", code)
	return &wire.VersionResponse{Code: uint32(code), Message: message}, nil
}

// VersionWithdraw implements wire.OperatorServer. It does not need the table service.
func (o *operatorServer) VersionWithdraw(_ context.Context, request *wire.VersionWithdrawRequest) (*wire.VersionResponse, error) {
	code, message := codeOf(o.manager.withdrawByOperator(request))
	o.manager.metrics.countOperator("version_withdraw", code)
	return &wire.VersionResponse{Code: uint32(code), Message: message}, nil
}

func (m *Manager) withdrawByOperator(request *wire.VersionWithdrawRequest) error {
	config := m.Config()
	if config == nil {
		return result.New(result.NotReady, "this entry has no operator configuration yet; ask another entry")
	}
	if err := checkVersion(config.Config, request.GetService(), request.GetVersion()); err != nil {
		return err
	}
	reason := "withdrawn by operator " + request.GetOperator()
	if request.GetReason() != "" {
		reason += ": " + request.GetReason()
	}
	m.Withdraw(request.GetService(), request.GetVersion(), reason)
	return nil
}
