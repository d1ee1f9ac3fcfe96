package gateway

import (
	"context"
	"net/http"
	"time"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/gateway/target"
)

const (
	// endBatchTime is the pause before a probe after a response that ended with its connection. The streams of a
	// target that crashes end within a few ms, and one probe serves all of them.
	endBatchTime = 10 * time.Millisecond
	// pauseCheckInterval is the pause until it is checked again whether a target that asked for a pause may be probed.
	pauseCheckInterval = 50 * time.Millisecond
)

// liveness is whether the process of a target that sent a response still runs.
type liveness int

const (
	// livenessUnknown means that nothing shows whether it does.
	livenessUnknown liveness = iota
	// targetRuns means that this process answered a probe.
	targetRuns
	// targetEnded means that the target's port is closed or another process has it.
	targetEnded
)

// String returns the liveness as a metric label.
func (l liveness) String() string { return [...]string{"unknown", "runs", "ended"}[l] }

// endsWithConnection reports whether the end of a response is that of its connection. The kernel closes the
// connections of a process that is killed as if it had ended its responses.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Close && response.Request.Method != http.MethodHead
}

// unframedEnd is the end of a response that ended with its connection.
type unframedEnd struct {
	reg membership.Registration
	// sentAt is when the request was sent.
	sentAt time.Time
	// conn is the connection that has ended.
	conn *target.Conn
	// final is set if the request cannot be sent to another target, so that an unknown end breaks it off.
	final bool
}

// checkUnframedEnd returns whether a response is whole that has just ended with its connection. It is if its request was
// written completely and the process that sent it has gone on to run; anything else proves nothing. It waits for the end of a pause that permits no probe if
// the request cannot be sent elsewhere.
func (g *Gateway) checkUnframedEnd(ctx context.Context, end unframedEnd) bool {
	if !end.conn.AwaitWritten() {
		g.metrics.unframedEnds.WithLabelValues("unread_request").Inc()
		return false
	}
	since := time.Now()
	sleep(ctx, endBatchTime)
	l := livenessUnknown
	for ctx.Err() == nil {
		result := g.probeTarget(end.reg)
		if result.held && end.final {
			sleep(ctx, pauseCheckInterval)
			continue
		}
		// The first probe may be one in progress, which other requests share.
		if result.held || !result.sentAt.Before(since) {
			l = g.livenessFrom(end.reg, result)
			break
		}
	}
	if l == livenessUnknown && ctx.Err() == nil {
		l = g.livenessByID(ctx, end)
	}
	g.metrics.unframedEnds.WithLabelValues(l.String()).Inc()
	return l == targetRuns
}

// livenessByID returns what the health check of a target shows whose report does not say when its process started. A
// process that has the ID of the one before took seconds to start, so that it is the same one unless this gateway may
// have noticed the end late.
func (g *Gateway) livenessByID(ctx context.Context, end unframedEnd) liveness {
	path := g.healthPath(end.reg.Service)
	if path == "" {
		return livenessUnknown
	}
	response, err := g.probeOnce(ctx, end.reg, path)
	if err != nil {
		if connRefused(err) {
			return targetEnded
		}
		return livenessUnknown
	}
	stated := membership.Process{ID: g.options.Protocol.DecodeResponse(response.Status, response.Header).InstanceID}
	return livenessOf(end.reg, stated, !g.loop.stoodStillSince(end.sentAt))
}

// livenessOf returns what an answer shows of a process that stated itself. inTime is set if no other process can have
// started since under the same ID.
func livenessOf(reg membership.Registration, stated membership.Process, inTime bool) liveness {
	switch identity := reg.Process().Identify(stated); {
	case identity == membership.SameProcess, identity == membership.SameID && inTime:
		return targetRuns
	case identity == membership.OtherProcess:
		return targetEnded
	}
	return livenessUnknown
}

// livenessFrom returns what a probe shows. A report that says no more than the ID of its process is not enough.
func (g *Gateway) livenessFrom(reg membership.Registration, result *probeResult) liveness {
	switch {
	case result.refused:
		return targetEnded
	case result.response.Status == 0:
		return livenessUnknown
	}
	stated := membership.Process{ID: g.options.Protocol.DecodeResponse(result.response.Status, result.response.Header).InstanceID}
	if report, err := result.report(); err == nil {
		stated.StartUnixMS = report.StartUnixMS
	}
	return livenessOf(reg, stated, false)
}

// stoodStillSince reports whether this process may have stood still at some time since the given one, as when the VM is
// frozen: what it reads then may have arrived long before.
func (l *eventLoop) stoodStillSince(since time.Time) bool {
	last, late := l.lastTickAt.Load(), l.lateTickAt.Load()
	return last == nil || time.Since(*last) > tickInterval+lateTickThreshold || late != nil && !late.Before(since)
}
