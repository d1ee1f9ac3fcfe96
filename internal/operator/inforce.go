package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bramleygap/internal/core/configcheck"
	"bramleygap/internal/gateway"
	"bramleygap/internal/opconfig"
	"bramleygap/internal/rpc"
	"bramleygap/internal/wire"
)

const (
	// maxAnswerBytes and answerTimeout bound what is read from a live node.
	maxAnswerBytes = gateway.MaxDesiredStateBytes
	answerTimeout  = gateway.DesiredStateTimeout
	// maxAnswerHeaderBytes bounds the headers of an HTTP response.
	maxAnswerHeaderBytes = 64 << 10
	// busyPause is how long to wait if a gateway answers another request for its desired state.
	busyPause = 200 * time.Millisecond
	// shownAnswerBytes bounds the part of an unexpected answer that is shown.
	shownAnswerBytes = 200
	// unconfirmedAge is the age of the last confirmation by the store from which a copy is reported as possibly old.
	unconfirmedAge = 5 * time.Second
)

// comparedVersion describes a version in force that was read from a live node.
type comparedVersion struct {
	Address string `json:"address"`
	Kind    string `json:"kind"`
	Version uint64 `json:"version"`
	// Gateway is the name of the gateway that was asked; Operator and ChangeID are those of the revision at an entry.
	Gateway  string `json:"gateway,omitempty"`
	Operator string `json:"operator,omitempty"`
	ChangeID string `json:"change_id,omitempty"`
	// Confirmed is set if the store confirmed the node's copy within unconfirmedAge, or if the entry reaches it.
	Confirmed bool `json:"confirmed"`
	// ConfirmedAgeMS is how long ago the store confirmed a gateway's copy; it is absent if it never did.
	ConfirmedAgeMS *int64 `json:"confirmed_age_ms,omitempty"`
}

// String implements fmt.Stringer.
func (v *comparedVersion) String() string {
	if v.Gateway == "" {
		text := fmt.Sprintf("compared with revision %d by %q (change %q) of the operator configuration", v.Version, v.Operator, v.ChangeID)
		if !v.Confirmed {
			text += "; the entry does NOT reach the table service, a newer revision may be in force"
		}
		return text
	}
	text := fmt.Sprintf("compared with version %d of the desired state, in use at gateway %q", v.Version, v.Gateway)
	switch {
	case v.ConfirmedAgeMS == nil:
		return text + "; the store has NOT confirmed it yet, a newer version may be in force"
	case !v.Confirmed:
		return fmt.Sprintf("%s; the store has NOT confirmed it for %.1f s, a newer version may be in force", text, v.confirmedAge().Seconds())
	}
	return fmt.Sprintf("%s and confirmed by the store %.1f s ago", text, v.confirmedAge().Seconds())
}

func (v *comparedVersion) confirmedAge() time.Duration {
	return time.Duration(*v.ConfirmedAgeMS) * time.Millisecond
}

// isAddress reports whether the text is host:port. A file of such a name is written with its folder, as in ./a:1.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || strings.ContainsAny(text, `/\`) {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// inForceReader reads the versions in force with which files are compared.
type inForceReader struct {
	options CheckOptions
	// read holds what was read from a file, or from a live node for each kind of configuration.
	read map[string]*checkedFile
}

// get returns the version in force for a configuration of a kind, or nil if there is nothing to compare with.
func (r *inForceReader) get(ctx context.Context, kind string) *checkedFile {
	against := r.options.Against
	if against == "" {
		return nil
	}
	live := isAddress(against)
	if !live {
		kind = "file"
	}
	f, ok := r.read[kind]
	switch {
	case ok:
	case !live:
		f = readChecked(against, r.options)
	default:
		f = readLive(ctx, against, kind, r.options)
	}
	r.read[kind] = f
	return f
}

// versions returns the versions that were read from live nodes.
func (r *inForceReader) versions() []*comparedVersion {
	var versions []*comparedVersion
	for _, kind := range []string{kindOperator, kindPlatform} {
		if f := r.read[kind]; f != nil && f.version != nil && f.comparable() {
			versions = append(versions, f.version)
		}
	}
	return versions
}

// readLive reads the configuration in force from an entry, or from a gateway for a desired state of the platform.
func readLive(ctx context.Context, address, kind string, options CheckOptions) *checkedFile {
	timeout := answerTimeout
	if options.answerTimeout > 0 {
		timeout = options.answerTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f := &checkedFile{name: address, kind: kind, version: &comparedVersion{Address: address, Kind: kind}}
	var err error
	if kind == kindPlatform {
		if f.text, err = readGateway(ctx, address, f.version); err == nil {
			f.checkPlatform(options)
		}
	} else if f.text, err = readEntry(ctx, address, f.version); err == nil {
		config, problems := opconfig.Model(f.text)
		f.addError(problems)
		if problems == nil {
			f.config = &config
		}
	}
	if errors.Is(err, context.DeadlineExceeded) || status.Code(err) == codes.DeadlineExceeded {
		err = fmt.Errorf("no complete answer within %v", timeout)
	}
	if err != nil {
		f.add(configcheck.Unreadable, "%v", err)
	}
	return f
}

// readEntry reads the operator configuration in force from an entry.
func readEntry(ctx context.Context, address string, version *comparedVersion) (string, error) {
	conn, err := rpc.Dial(address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	response, err := wire.NewOperatorClient(conn).Status(ctx, &wire.StatusRequest{}, grpc.MaxCallRecvMsgSize(maxAnswerBytes))
	switch status.Code(err) {
	case codes.OK:
	case codes.DeadlineExceeded:
		return "", err
	case codes.ResourceExhausted:
		return "", fmt.Errorf("the answer is too large: %s", shown(status.Convert(err).Message()))
	default:
		return "", fmt.Errorf("no entry answers (%v): %s; for an operator configuration, name the peer_listen of an entry", status.Code(err), shown(status.Convert(err).Message()))
	}
	if response.GetConfigRevision() == 0 {
		return "", errors.New("the entry has no operator configuration")
	}
	version.Version, version.Operator, version.ChangeID = response.GetConfigRevision(), response.GetConfigOperator(), response.GetConfigChangeId()
	version.Confirmed = response.GetStoreReachable()
	return response.GetConfigText(), nil
}

// readGateway reads the desired state in use from a gateway's administration listener.
func readGateway(ctx context.Context, address string, version *comparedVersion) (string, error) {
	// Without a proxy, compression and redirects, the limits apply to the named server itself.
	client := &http.Client{
		Transport:     &http.Transport{DisableCompression: true, DisableKeepAlives: true, MaxResponseHeaderBytes: maxAnswerHeaderBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for {
		text, busy, err := requestDesiredState(ctx, client, address, version)
		if !busy {
			return text, err
		}
		select {
		case <-ctx.Done():
			return "", errors.New("the gateway answers other requests for its desired state; repeat the command")
		case <-time.After(busyPause):
		}
	}
}

// requestDesiredState makes one request. It reports busy if the gateway answers another one.
func requestDesiredState(ctx context.Context, client *http.Client, address string, version *comparedVersion) (text string, busy bool, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+gateway.DesiredStatePath, nil)
	if err != nil {
		return "", false, err
	}
	response, err := client.Do(request)
	if err != nil {
		if wrapped := (*url.Error)(nil); errors.As(err, &wrapped) {
			err = wrapped.Err
		}
		return "", false, fmt.Errorf("no gateway answers: %w; for a desired state, name the admin_listen of a gateway", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	name := response.Header.Get(gateway.GatewayHeader)
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "", false, fmt.Errorf("the answer is truncated after %d bytes", len(body))
	case err != nil:
		return "", false, fmt.Errorf("the answer cannot be read: %w", err)
	case len(body) > maxAnswerBytes:
		return "", false, fmt.Errorf("the answer is larger than %d MB", maxAnswerBytes>>20)
	case name == "":
		// The body is not shown: that of a store could have keys.
		return "", false, fmt.Errorf("the server is no gateway that serves its desired state (status %d, content type %s); name the admin_listen of a gateway", response.StatusCode, shown(response.Header.Get("Content-Type")))
	case response.StatusCode == http.StatusTooManyRequests:
		return "", true, nil
	case response.StatusCode != http.StatusOK:
		return "", false, fmt.Errorf("the gateway answers with status %d: %s", response.StatusCode, shown(strings.TrimSpace(string(body))))
	}
	version.Gateway = name
	if version.Version, err = strconv.ParseUint(response.Header.Get(gateway.VersionHeader), 10, 64); err != nil {
		return "", false, errors.New("the answer states no version")
	}
	if age := response.Header.Get(gateway.ConfirmedAgeHeader); age != "" {
		ms, err := strconv.ParseInt(age, 10, 64)
		if err != nil || ms < 0 {
			return "", false, errors.New("the answer has an invalid age of the copy")
		}
		version.ConfirmedAgeMS = &ms
		version.Confirmed = ms <= unconfirmedAge.Milliseconds()
	}
	return string(body), false, nil
}

// shown returns the beginning of a text from another process in quotes.
func shown(text string) string {
	if len(text) > shownAnswerBytes {
		return strconv.Quote(text[:shownAnswerBytes]) + "..."
	}
	return strconv.Quote(text)
}

// printable escapes what a terminal does not show as it is, since names may be those of another process.
func printable(text string) string {
	if !strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return text
	}
	var b strings.Builder
	for _, r := range text {
		if unicode.IsPrint(r) {
			b.WriteRune(r)
			continue
		}
		quoted := strconv.QuoteRune(r)
		b.WriteString(quoted[1 : len(quoted)-1])
	}
	return b.String()
}
