package settings

import (
	"fmt"
	"io"
	"os"

	"bramleygap/internal/tomlcheck"
)

// maxFileBytes bounds a settings file; real files have a few hundred bytes.
const maxFileBytes = 64 << 10

// LoadEntry reads and validates the settings file of an entry. The error lists all
// problems with file, line and key.
func LoadEntry(path string) (Entry, error) {
	text, err := readFile(path)
	if err != nil {
		return Entry{}, err
	}
	return ParseEntry(path, text)
}

// LoadAgent reads and validates the settings file of an agent, as LoadEntry does.
func LoadAgent(path string) (Agent, error) {
	text, err := readFile(path)
	if err != nil {
		return Agent{}, err
	}
	return ParseAgent(path, text)
}

// readFile returns at most one byte more than maxFileBytes, so that the parser reports longer files.
func readFile(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return "", fmt.Errorf("read %s: %w", path, err)
	}
	return string(text), nil
}

// ParseEntry validates the settings of an entry; file is named in errors and may be empty.
func ParseEntry(file, text string) (Entry, error) {
	var s Entry
	d, ok := tomlcheck.Decode(file, text, maxFileBytes, &s)
	if !ok {
		return Entry{}, d.Err()
	}
	d.Name("name", s.Name)
	d.Name("zone", s.Zone)
	d.Address("caller_listen", s.CallerListen, true)
	d.Address("peer_listen", s.PeerListen, false)
	if s.PeerAddress != "" {
		d.Address("peer_address", s.PeerAddress, false)
	}
	d.Address("admin_listen", s.AdminListen, true)
	checkDistinct(d, []string{"caller_listen", "peer_listen", "admin_listen"},
		[]string{s.CallerListen, s.PeerListen, s.AdminListen})
	d.URL("platform_url", s.PlatformURL)
	if s.MaxBodyBytes < 0 {
		d.Add("max_body_bytes", "is negative; write a number of bytes, or 0 for 4 MiB")
	}
	checkSeeds(d, s.Seeds)
	checkRollout(d, s.Rollout)
	checkLog(d, s.Log)
	if err := d.Err(); err != nil {
		return Entry{}, err
	}
	return s, nil
}

// ParseAgent validates the settings of an agent; file is named in errors and may be empty.
func ParseAgent(file, text string) (Agent, error) {
	var s Agent
	d, ok := tomlcheck.Decode(file, text, maxFileBytes, &s)
	if !ok {
		return Agent{}, d.Err()
	}
	d.Name("name", s.Name)
	d.Name("vm", s.VM)
	d.Name("zone", s.Zone)
	d.Name("service", s.Service)
	d.Address("listen", s.Listen, false)
	d.Address("admin_listen", s.AdminListen, true)
	checkDistinct(d, []string{"listen", "admin_listen"}, []string{s.Listen, s.AdminListen})
	d.URL("target_url", s.TargetURL)
	d.URL("platform_url", s.PlatformURL)
	checkTarget(d, s)
	checkLog(d, s.Log)
	if err := d.Err(); err != nil {
		return Agent{}, err
	}
	return s, nil
}

func checkTarget(d *tomlcheck.Document, s Agent) {
	switch s.TargetKind {
	case "model":
		if len(s.Versions) == 0 {
			d.Add("versions", `is missing; list the versions that the model engine has loaded, for example ["v1"]`)
		}
	case "application":
		if len(s.Versions) > 0 {
			d.Add("versions", "an application engine has no versions; remove the key")
		}
	default:
		d.Add("target_kind", `is %q; write "model" or "application"`, s.TargetKind)
	}
	seen := make(map[string]bool)
	for i, version := range s.Versions {
		key := fmt.Sprintf("versions[%d]", i)
		d.Name(key, version)
		if seen[version] {
			d.Add(key, "version %q is listed twice; remove one", version)
		}
		seen[version] = true
	}
}

func checkDistinct(d *tomlcheck.Document, keys, addresses []string) {
	seen := make(map[string]string)
	for i, address := range addresses {
		if other, ok := seen[address]; ok && address != "" {
			d.Add(keys[i], "%s is also the address of %s; write another port", address, other)
		}
		seen[address] = keys[i]
	}
}

func checkSeeds(d *tomlcheck.Document, seeds []Seed) {
	seen := make(map[string]bool)
	for i, seed := range seeds {
		key := fmt.Sprintf("seed[%d]", i)
		d.Address(key+".address", seed.Address, false)
		if seed.Role != "entry" && seed.Role != "agent" {
			d.Add(key+".role", `is %q; write "entry" or "agent"`, seed.Role)
		}
		if seed.Zone != "" {
			d.Name(key+".zone", seed.Zone)
		}
		if seen[seed.Address] {
			d.Add(key+".address", "%s is listed twice; remove one", seed.Address)
		}
		seen[seed.Address] = true
	}
}

func checkLog(d *tomlcheck.Document, log Log) {
	switch log.Level {
	case "", "debug", "info", "warn", "error":
	default:
		d.Add("log.level", "is %q; write debug, info, warn or error", log.Level)
	}
}
