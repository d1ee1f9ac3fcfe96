package operator

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"bramleygap/internal/wire"
)

// Status prints the state of the installation as seen by one entry.
func Status(ctx context.Context, options Options, w io.Writer) error {
	status, err := getStatus(ctx, options)
	if err != nil {
		return err
	}
	if options.JSON {
		return printJSON(w, status)
	}
	printSummary(w, status)
	printUnavailable(w, status)
	printNodes(w, status)
	printTargets(w, status)
	printVersions(w, status.GetVersions())
	printMembers(w, status.GetMembers())
	return nil
}

func printJSON(w io.Writer, status *wire.StatusResponse) error {
	text, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Marshal(status)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}

func printSummary(w io.Writer, status *wire.StatusResponse) {
	store := "reachable"
	if !status.GetStoreReachable() {
		store = "NOT REACHABLE: no configuration change, rollout step or non-idempotent call is possible"
	}
	_, _ = fmt.Fprintf(w, "table service: %s\n", store)
	if status.GetConfigRevision() == 0 {
		_, _ = fmt.Fprintln(w, "operator configuration: none adopted")
		return
	}
	_, _ = fmt.Fprintf(w, "operator configuration: revision %d by %s (change %s)\n",
		status.GetConfigRevision(), status.GetConfigOperator(), status.GetConfigChangeId())
	if missing := status.GetMissing(); len(missing) > 0 {
		_, _ = fmt.Fprintf(w, "not yet in force on: %s\n", strings.Join(missing, ", "))
		return
	}
	_, _ = fmt.Fprintln(w, "in force on all live nodes")
}

// printTable prints rows in aligned columns below a header; without rows it prints nothing.
func printTable(w io.Writer, header []string, rows [][]string) {
	if len(rows) == 0 {
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{nil, header}, rows...) {
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	_ = table.Flush()
}

func printNodes(w io.Writer, status *wire.StatusResponse) {
	var rows [][]string
	for _, node := range status.GetNodes() {
		rows = append(rows, []string{node.GetNode(), node.GetAddress(), fmt.Sprint(node.GetConfigRevision())})
	}
	printTable(w, []string{"NODE", "ADDRESS", "REVISION"}, rows)
}

// printUnavailable prints the targets and VMs that receive no new work.
func printUnavailable(w io.Writer, status *wire.StatusResponse) {
	if suspected := status.GetSuspected(); len(suspected) > 0 {
		_, _ = fmt.Fprintf(w, "suspected targets (no heartbeat, no new work): %s\n", strings.Join(suspected, ", "))
	}
	var vms []string
	for _, vm := range status.GetLeavingVms() {
		vms = append(vms, fmt.Sprintf("%s (%s)", vm.GetVm(), strings.Join(vm.GetReasons(), ", ")))
	}
	if len(vms) > 0 {
		_, _ = fmt.Fprintf(w, "leaving VMs (no new work): %s\n", strings.Join(vms, ", "))
	}
}

func printTargets(w io.Writer, status *wire.StatusResponse) {
	var rows [][]string
	for _, t := range status.GetTargets() {
		state := "ready"
		switch {
		case t.GetLeaving():
			state = "leaving"
		case slices.Contains(status.GetSuspected(), t.GetTarget()):
			state = "suspected"
		case !t.GetReady():
			state = "not ready"
		}
		rows = append(rows, []string{
			t.GetTarget(), t.GetVm(), t.GetZone(), t.GetService(), strings.Join(t.GetVersions(), ","), state,
			fmt.Sprintf("%d/%d", t.GetRunning(), t.GetSlots()), fmt.Sprint(t.GetWaiting()),
		})
	}
	printTable(w, []string{"TARGET", "VM", "ZONE", "SERVICE", "VERSIONS", "STATE", "RUNNING", "WAITING"}, rows)
}

func printVersions(w io.Writer, versions []*wire.VersionStatus) {
	var rows [][]string
	for _, v := range versions {
		deadline := "-"
		if v.GetDeadlineUnixMs() != 0 {
			deadline = time.UnixMilli(v.GetDeadlineUnixMs()).UTC().Format(time.RFC3339)
		}
		rows = append(rows, []string{
			v.GetService(), v.GetVersion(), v.GetState(), fmt.Sprintf("%g%%", v.GetShare()), deadline,
			fmt.Sprint(v.GetRequests()), fmt.Sprint(v.GetFailures()), fmt.Sprint(v.GetSlow()), orDash(v.GetOwner()), v.GetReason(),
		})
	}
	printTable(w, []string{"SERVICE", "VERSION", "STATE", "SHARE", "DEADLINE", "REQUESTS", "FAILED", "SLOW", "OWNER", "REASON"}, rows)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func printMembers(w io.Writer, members []*wire.MemberStatus) {
	var rows [][]string
	for _, m := range members {
		rows = append(rows, []string{m.GetMember(), fmt.Sprintf("%g%%", m.GetShare()), fmt.Sprintf("%.1f%%", m.GetUse())})
	}
	printTable(w, []string{"MEMBER", "SHARE", "USE"}, rows)
}

// VersionStatus prints the rollouts, of one service if service is not empty.
func VersionStatus(ctx context.Context, options Options, service string, w io.Writer) error {
	status, err := getStatus(ctx, options)
	if err != nil {
		return err
	}
	versions := slices.DeleteFunc(status.GetVersions(), func(v *wire.VersionStatus) bool {
		return service != "" && v.GetService() != service
	})
	if options.JSON {
		return printJSON(w, &wire.StatusResponse{Versions: versions})
	}
	if len(versions) == 0 {
		_, _ = fmt.Fprintln(w, "no version to report")
	}
	printVersions(w, versions)
	return nil
}
