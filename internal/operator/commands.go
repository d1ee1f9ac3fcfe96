package operator

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

// Connection holds the flags of all commands that query an entry.
type Connection struct {
	Entry []string `help:"Address (IP:PORT) of an entry's peer listener; repeat for more, which are asked in turn." env:"BRAMLEYGAP_ENTRY" placeholder:"IP:PORT" required:""`
}

// Identity holds the flag of commands that record who made a change.
type Identity struct {
	Operator string `help:"Name recorded with the change and shown to others in a conflict." env:"BRAMLEYGAP_OPERATOR,USER" default:"unknown"`
}

// CheckCommand is `check FILE...`.
type CheckCommand struct {
	Files   []string `arg:"" name:"file" help:"Settings files, operator configurations, or desired states of the platform (JSON) to check. Desired states are also checked against gateways' settings among them." type:"path"`
	Against string   `help:"Configuration in force, to show what differs from it and what traffic moves: a file, or host:port of a live entry's peer listener (for operator configurations) or of a live gateway's administration listener (for desired states)." placeholder:"FILE|HOST:PORT"`
	Strict  bool     `help:"Exit with status 1 if there are warnings."`
	Accept  []string `help:"Code of a warning that is meant as it is, such as C302; it is shown and does not count for --strict. Repeat for more." placeholder:"CODE"`
	JSON    bool     `help:"Print JSON in place of text."`
}

// Run checks the files. The exit status is 2 with errors, 1 with warnings and --strict, and 0 otherwise.
func (c *CheckCommand) Run(ctx context.Context, platform PlatformFormat) error {
	against := c.Against
	if against != "" && !isAddress(against) {
		against = kong.ExpandPath(against)
	}
	options := CheckOptions{Files: c.Files, Against: against, Platform: platform, Strict: c.Strict, JSON: c.JSON, Accept: c.Accept, Now: time.Now()}
	return Check(ctx, options, os.Stdout)
}

// ApplyCommand is `apply FILE`.
type ApplyCommand struct {
	Connection
	Identity
	File     string        `arg:"" help:"Operator configuration to put in force." type:"path"`
	Base     *uint64       `help:"Revision that the file was edited from; the default is the revision current at the start of the command. 0 means the first configuration."`
	ChangeID string        `help:"Id of an earlier change whose outcome is unknown, to repeat it safely." placeholder:"ID"`
	DryRun   bool          `help:"Only validate and show the difference."`
	Timeout  time.Duration `help:"How long to wait until the change is in force on all live nodes." default:"30s"`
}

// Run applies the file.
func (c *ApplyCommand) Run(ctx context.Context) error {
	options := Options{Entries: c.Entry, Operator: c.Operator, Timeout: c.Timeout}
	return Apply(ctx, options, Change{File: c.File, Base: c.Base, ID: c.ChangeID, DryRun: c.DryRun}, os.Stdout)
}

// StatusCommand is `status`.
type StatusCommand struct {
	Connection
	JSON bool `help:"Print JSON in place of tables."`
}

// Run prints the status.
func (c *StatusCommand) Run(ctx context.Context) error {
	return Status(ctx, Options{Entries: c.Entry, JSON: c.JSON}, os.Stdout)
}

// DrainCommand is `drain VM`.
type DrainCommand struct {
	Connection
	VM   string `arg:"" name:"vm" help:"Id of the VM whose targets get no new work."`
	Undo bool   `help:"Let the VM get new work again."`
}

// Run drains the VM.
func (c *DrainCommand) Run(ctx context.Context) error {
	return Drain(ctx, Options{Entries: c.Entry}, c.VM, c.Undo, os.Stdout)
}

// VersionCommand is `version start|withdraw|status`.
type VersionCommand struct {
	Start    VersionStartCommand    `cmd:"" help:"Start the rollout of a version by setting its deadline."`
	Withdraw VersionWithdrawCommand `cmd:"" help:"Withdraw a version for good; it gets no new work on any node."`
	Status   VersionStatusCommand   `cmd:"" help:"Show the rollouts."`
}

// VersionStartCommand is `version start SERVICE VERSION`.
type VersionStartCommand struct {
	Connection
	Identity
	Service  string    `arg:"" help:"Service of the operator configuration."`
	Version  string    `arg:"" help:"Version listed in the service."`
	Deadline time.Time `help:"Time by which the rollout is complete or rolled back, for example 2027-01-31T18:00:00Z." required:"" placeholder:"TIME"`
	Wait     bool      `help:"Follow the rollout and print each step; the exit status is 0 once it is done and another one if the version is taken back."`
}

// Run starts the rollout.
func (c *VersionStartCommand) Run(ctx context.Context) error {
	options := Options{Entries: c.Entry, Operator: c.Operator}
	if err := VersionStart(ctx, options, c.Service, c.Version, c.Deadline, os.Stdout); err != nil || !c.Wait {
		return err
	}
	return Follow(ctx, options, c.Service, c.Version, c.Deadline, os.Stdout)
}

// VersionWithdrawCommand is `version withdraw SERVICE VERSION`.
type VersionWithdrawCommand struct {
	Connection
	Identity
	Service string `arg:"" help:"Service of the operator configuration."`
	Version string `arg:"" help:"Version to withdraw."`
	Reason  string `help:"Reason shown in the status."`
}

// Run withdraws the version.
func (c *VersionWithdrawCommand) Run(ctx context.Context) error {
	return VersionWithdraw(ctx, Options{Entries: c.Entry, Operator: c.Operator}, c.Service, c.Version, c.Reason, os.Stdout)
}

// VersionStatusCommand is `version status`.
type VersionStatusCommand struct {
	Connection
	Service string `help:"Show only this service."`
	JSON    bool   `help:"Print JSON in place of a table."`
}

// Run prints the rollouts.
func (c *VersionStatusCommand) Run(ctx context.Context) error {
	return VersionStatus(ctx, Options{Entries: c.Entry, JSON: c.JSON}, c.Service, os.Stdout)
}
