package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// Path and headers by which an administration listener serves the desired state in use.
const (
	DesiredStatePath = "/desired-state"
	// GatewayHeader has the name of the gateway; errors have it too.
	GatewayHeader = "Bramleygap-Gateway"
	// VersionHeader has the version of the desired state.
	VersionHeader = "Bramleygap-Version"
	// ConfirmedAgeHeader has the time in ms since the store last confirmed the gateway's copy; it is absent if the
	// store never did.
	ConfirmedAgeHeader = "Bramleygap-Confirmed-Age-Ms"
)

const (
	// MaxDesiredStateBytes bounds the desired state that a gateway sends, and the memory that this takes.
	MaxDesiredStateBytes = 10 << 20
	// DesiredStateTimeout bounds the time in which a desired state is sent and read.
	DesiredStateTimeout = 5 * time.Second
)

// serveDesiredState sends the desired state in use, with digests in place of the client keys. It does not use the event
// loop. Requests beyond one at a time are refused: encoding a desired state takes processor time and memory that client
// requests need.
func (g *Gateway) serveDesiredState(w http.ResponseWriter, _ *http.Request) {
	h := w.Header()
	h.Set(GatewayHeader, g.options.Settings.Name)
	if !g.sendsDesiredState.CompareAndSwap(false, true) {
		h.Set("Retry-After", "1")
		http.Error(w, "another request for the desired state is being answered", http.StatusTooManyRequests)
		return
	}
	defer g.sendsDesiredState.Store(false)
	p := g.loop.published.Load()
	if p == nil || p.desired.Config == nil {
		http.Error(w, "no desired state", http.StatusServiceUnavailable)
		return
	}
	text, problem := g.encodeDesiredState(p.desired.Row.Value)
	if problem != "" {
		http.Error(w, problem, http.StatusInternalServerError)
		return
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	h.Set(VersionHeader, strconv.FormatUint(p.desired.Config.Version, 10))
	if at := g.loop.configConfirmedAt.Load(); at != nil {
		h.Set(ConfirmedAgeHeader, strconv.FormatInt(time.Since(*at).Milliseconds(), 10))
	}
	// A receiver that accepts nothing must not keep others from being answered.
	err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(DesiredStateTimeout))
	if err == nil {
		_, err = w.Write(text)
	}
	if err != nil {
		g.log.Debug().Err(err).Msg("desired state could not be sent to the administration client")
	}
}

// encodeDesiredState returns the text to send, or why it cannot be sent. The reason must not quote the text, which has
// keys.
func (g *Gateway) encodeDesiredState(stored []byte) (text []byte, problem string) {
	const tooLarge = "the desired state is larger than the 10 MB that a gateway sends"
	if len(stored) > MaxDesiredStateBytes {
		return nil, tooLarge
	}
	text, err := g.options.Protocol.WithKeyDigests(stored)
	switch {
	case err != nil:
		return nil, "the desired state cannot be encoded: " + err.Error()
	case len(text) > MaxDesiredStateBytes:
		return nil, tooLarge
	}
	return text, ""
}
