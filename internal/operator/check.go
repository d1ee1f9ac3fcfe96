package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"bramleygap/internal/core/configcheck"
	"bramleygap/internal/gateway"
	"bramleygap/internal/opconfig"
	"bramleygap/internal/settings"
	"bramleygap/internal/tomlcheck"
)

// PlatformFormat translates a configuration in the format of the users' platform. The findings are those about the
// text itself.
type PlatformFormat interface {
	TranslateConfiguration(text []byte) (configcheck.Configuration, []configcheck.Finding)
}

// CheckOptions selects what Check reads.
type CheckOptions struct {
	// Files are settings and configurations. Configurations are also checked against the gateways' settings among them.
	Files []string
	// Against is a configuration in force, with which configurations of its format are compared: a file, or host:port of
	// an entry for operator configurations and of a gateway's administration listener for desired states. Empty means
	// none.
	Against string
	// Platform reads files in JSON.
	Platform PlatformFormat
	// Strict gives warnings their own exit code.
	Strict bool
	// JSON selects JSON in place of text.
	JSON bool
	// Accept lists codes of warnings that are meant as they are; they are reported and do not count for Strict.
	Accept []string
	// Now is the time that deadlines are compared with.
	Now time.Time
	// answerTimeout replaces the limit of the same name in tests.
	answerTimeout time.Duration
}

// ErrInvalid is returned by Check if a file has errors, which Check prints. ErrWarnings is returned if files have
// only warnings and CheckOptions.Strict is set.
var (
	ErrInvalid  error = checkError{"at least one file is not valid", 2}
	ErrWarnings error = checkError{"at least one file has warnings", 1}
)

// checkError is a result of Check with the exit status of the command.
type checkError struct {
	text string
	code int
}

// Error implements error.
func (e checkError) Error() string { return e.text }

// ExitCode implements kong.ExitCoder.
func (e checkError) ExitCode() int { return e.code }

// checkedFile is a file with what was found in it.
type checkedFile struct {
	name, kind, text string
	findings         []configcheck.Finding
	// config is set for configurations without errors, and gateway for settings of a gateway without errors.
	config  *configcheck.Configuration
	gateway *configcheck.Gateway
	// differences is set if config was compared with the version in force.
	differences bool
	// version is set for a configuration that was read from a live node. The keys of a desired state are then digests.
	version *comparedVersion
}

// Kinds of configurations.
const (
	kindOperator = "operator configuration"
	kindPlatform = "desired state of the platform"
)

// comparable reports whether f is a configuration with which others can be compared.
func (f *checkedFile) comparable() bool {
	return f.config != nil && !configcheck.Has(f.findings, configcheck.Error)
}

// Check validates files and prints every finding. It recognises the type of a file by its keys: settings of an entry,
// gateway or agent, an operator configuration, or a desired state of the platform in JSON.
func Check(ctx context.Context, options CheckOptions, w io.Writer) error {
	files := make([]*checkedFile, 0, len(options.Files))
	for _, name := range options.Files {
		files = append(files, readChecked(name, options))
	}
	inForce := &inForceReader{options: options, read: make(map[string]*checkedFile)}
	var all []configcheck.Finding
	for _, f := range files {
		f.checkGateways(files)
		if f.config != nil {
			f.compare(inForce.get(ctx, f.kind), options.Now)
		}
		f.findings = configcheck.Report(f.findings)
		for _, finding := range f.findings {
			if finding.Severity != configcheck.Warning || !slices.Contains(options.Accept, string(finding.Code)) {
				all = append(all, finding)
			}
		}
	}
	if err := printChecked(w, files, inForce.versions(), options.JSON); err != nil {
		return err
	}
	switch configcheck.ExitCode(all, options.Strict) {
	case ErrInvalid.(checkError).code:
		return ErrInvalid
	case ErrWarnings.(checkError).code:
		return ErrWarnings
	}
	return nil
}

// printChecked prints the findings of all files and the versions that they were compared with.
func printChecked(w io.Writer, files []*checkedFile, inForce []*comparedVersion, asJSON bool) error {
	if !asJSON {
		for _, version := range inForce {
			_, _ = fmt.Fprintf(w, "%s: %s\n", version.Address, version)
		}
		for _, f := range files {
			printFindings(w, f)
		}
		return nil
	}
	type report struct {
		File     string                `json:"file"`
		Kind     string                `json:"kind"`
		Valid    bool                  `json:"valid"`
		Findings []configcheck.Finding `json:"findings"`
	}
	reports := make([]report, 0, len(files))
	for _, f := range files {
		valid := !configcheck.Has(f.findings, configcheck.Error)
		reports = append(reports, report{File: f.name, Kind: f.kind, Valid: valid, Findings: append([]configcheck.Finding{}, f.findings...)})
	}
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(struct {
		Files   []report           `json:"files"`
		Against []*comparedVersion `json:"against,omitempty"`
	}{reports, inForce})
}

// readChecked reads a file and checks it by itself.
func readChecked(name string, options CheckOptions) *checkedFile {
	f := &checkedFile{name: name, kind: "file"}
	text, err := readFile(name)
	switch {
	case err != nil:
		f.add(configcheck.Unreadable, "cannot be read: %v", err)
	case len(text) >= maxFileBytes:
		f.add(configcheck.TooLarge, "the file has %d bytes or more; an operator configuration has at most %d, settings have less", maxFileBytes, opconfig.MaxTextBytes)
	default:
		f.text = text
		f.check(options)
	}
	if f.config != nil && !configcheck.Has(f.findings, configcheck.Error) {
		f.findings = append(f.findings, configcheck.Warnings(f.config)...)
	}
	return f
}

func (f *checkedFile) add(code configcheck.Code, format string, args ...any) {
	f.findings = append(f.findings, configcheck.New(code, configcheck.Place{Line: 1}, format, args...))
}

// addError adds the problems of a TOML text.
func (f *checkedFile) addError(err error) {
	var problems tomlcheck.Problems
	switch {
	case errors.As(err, &problems):
		f.findings = append(f.findings, opconfig.Findings(problems)...)
	case err != nil:
		f.add(configcheck.Unreadable, "%v", err)
	}
}

func (f *checkedFile) check(options CheckOptions) {
	if isJSON(f.name, f.text) {
		f.checkPlatform(options)
		return
	}
	keys := firstKeys(f.text)
	has := func(names ...string) bool {
		return slices.ContainsFunc(names, func(name string) bool { return keys[name] })
	}
	switch {
	case has("client_listen", "readiness_listen", "store_address"):
		f.kind = "gateway settings"
		s, err := settings.ParseGateway("", f.text)
		f.addError(err)
		if limits := gateway.ConfigurationLimits(s); err == nil {
			f.gateway = &limits
		}
	case has("caller_listen", "peer_listen"):
		f.kind = "entry settings"
		_, err := settings.ParseEntry("", f.text)
		f.addError(err)
	case has("target_url", "target_kind", "listen"):
		f.kind = "agent settings"
		_, err := settings.ParseAgent("", f.text)
		f.addError(err)
	default:
		f.kind = kindOperator
		config, err := opconfig.Model(f.text)
		f.addError(err)
		if err != nil {
			return
		}
		f.config = &config
		if options.Against == "" {
			f.findings = append(f.findings, configcheck.DeadlinesPassed(&config, options.Now)...)
		}
	}
}

func (f *checkedFile) checkPlatform(options CheckOptions) {
	f.kind = kindPlatform
	if options.Platform == nil {
		f.add(configcheck.Unreadable, "is JSON, and this program has no platform to read it for")
		return
	}
	config, findings := options.Platform.TranslateConfiguration([]byte(f.text))
	f.findings = append(f.findings, findings...)
	f.findings = append(f.findings, configcheck.Errors(&config)...)
	f.config = &config
}

// firstKeys returns the keys before the first table of a TOML text, which need not be valid.
func firstKeys(text string) map[string]bool {
	keys := make(map[string]bool)
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			break
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			keys[strings.Trim(strings.TrimSpace(key), `"'`)] = true
		}
	}
	return keys
}

// isJSON reports whether a text is a desired state: no TOML begins with a brace.
func isJSON(name, text string) bool {
	return filepath.Ext(name) == ".json" || strings.HasPrefix(strings.TrimSpace(text), "{")
}

// checkGateways checks a configuration against the settings of gateways among the files.
func (f *checkedFile) checkGateways(files []*checkedFile) {
	if f.config == nil || configcheck.Has(f.findings, configcheck.Error) {
		return
	}
	for _, other := range files {
		if other.gateway != nil {
			f.findings = append(f.findings, configcheck.WithGateway(f.config, *other.gateway)...)
		}
	}
}

// compare adds the differences from the configuration in force, nil for none.
func (f *checkedFile) compare(inForce *checkedFile, now time.Time) {
	if inForce == nil {
		return
	}
	if !inForce.comparable() {
		reason := "it is no configuration"
		if sorted := configcheck.Report(inForce.findings); len(sorted) > 0 {
			reason = fmt.Sprintf("line %d: %s", sorted[0].Line, sorted[0].Text)
			if inForce.version != nil {
				// There is no file whose line the user could look up.
				reason = strings.TrimPrefix(sorted[0].Key+": "+sorted[0].Text, ": ")
			}
		}
		f.add(configcheck.Unreadable, "cannot be compared with %s: %s", inForce.name, reason)
		return
	}
	if f.kind != inForce.kind {
		f.add(configcheck.Unreadable, "cannot be compared with %s, which is of type %q; name a file of the same format", inForce.name, inForce.kind)
		return
	}
	if !f.config.PerRoute {
		f.addError(opconfig.CheckDeadlines(f.text, inForce.text, now))
	}
	if !configcheck.Has(f.findings, configcheck.Error) {
		f.differences = true
		config := f.config
		if inForce.version != nil && config.PerRoute {
			config = configcheck.WithKeyDigests(config)
		}
		f.findings = append(f.findings, configcheck.Compare(inForce.config, config)...)
	}
}

func printFindings(w io.Writer, f *checkedFile) {
	for _, finding := range f.findings {
		key := ""
		if finding.Key != "" {
			key = finding.Key + ": "
		}
		_, _ = fmt.Fprintf(w, "%s:%d: %s%s (%s %s)\n", f.name, finding.Line, printable(key), printable(finding.Text), finding.Severity, finding.Code)
	}
	if f.differences && !configcheck.Has(f.findings, configcheck.Change) {
		_, _ = fmt.Fprintf(w, "%s: no difference from the version in force\n", f.name)
	}
	if !configcheck.Has(f.findings, configcheck.Error) {
		_, _ = fmt.Fprintf(w, "%s: valid %s\n", f.name, f.kind)
	}
}

func readFile(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes))
	return string(text), err
}
