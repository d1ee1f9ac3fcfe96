package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/BurntSushi/toml"

	"bramleygap/internal/opconfig"
	"bramleygap/internal/settings"
	"bramleygap/internal/tomlcheck"
)

// ErrInvalid is returned by Check if a file has problems, which Check prints.
var ErrInvalid = errors.New("at least one file is not valid")

// Check validates files and prints every problem. It recognises the type of a file
// (settings of an entry, gateway or agent, or operator configuration) by its keys.
func Check(_ context.Context, files []string, w io.Writer) error {
	valid := true
	for _, file := range files {
		kind, err := checkFile(file)
		if err != nil {
			valid = false
			_, _ = fmt.Fprintln(w, err)
			continue
		}
		_, _ = fmt.Fprintf(w, "%s: valid %s\n", file, kind)
	}
	if !valid {
		return ErrInvalid
	}
	return nil
}

func checkFile(file string) (kind string, err error) {
	text, err := readFile(file)
	if err != nil {
		return "", err
	}
	var keys map[string]any
	_, _ = toml.Decode(text, &keys)
	has := func(names ...string) bool {
		for _, name := range names {
			if _, ok := keys[name]; ok {
				return true
			}
		}
		return false
	}
	switch {
	case has("client_listen", "readiness_listen", "store_address"):
		_, err = settings.ParseGateway(file, text)
		return "gateway settings", err
	case has("caller_listen", "peer_listen"):
		_, err = settings.ParseEntry(file, text)
		return "entry settings", err
	case has("target_url", "target_kind", "listen"):
		_, err = settings.ParseAgent(file, text)
		return "agent settings", err
	}
	_, err = opconfig.Parse(text)
	return "operator configuration", tomlcheck.WithFile(file, err)
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
