package cluster

import (
	"context"
	"errors"
	"time"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/delta"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/wire"
)

const (
	heartbeatInterval = time.Second
	// watchSilence is the time without a message after which a Watch stream is
	// opened again; it exceeds membership.SuspectAfter, so that a slow agent is
	// suspected before its connection is given up.
	watchSilence   = 5 * time.Second
	reconnectDelay = 200 * time.Millisecond
)

var errSilent = errors.New("agent sent nothing on its watch stream")

// watcher is the task that keeps a Watch stream open to one agent.
type watcher struct {
	address string
	wake    chan struct{}
	cancel  context.CancelFunc
}

func (m *Manager) startWatcher(ctx context.Context, address string) *watcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &watcher{address: address, wake: make(chan struct{}, 1), cancel: cancel}
	m.tasks.Go(func() { m.watchLoop(ctx, w) })
	return w
}

func (w *watcher) stop() { w.cancel() }

func (m *Manager) watchLoop(ctx context.Context, w *watcher) {
	for ctx.Err() == nil {
		err := m.watchOnce(ctx, w)
		m.options.Logger.Debug().Err(err).Str("agent", w.address).Msg("watch stream ended")
		if !sleep(ctx, jittered(reconnectDelay)) {
			return
		}
		m.metrics.reconnects.Inc()
	}
	// The connection stays in the pool: attempts in progress may still use it.
}

// watchOnce opens one stream and runs it until it fails or ctx ends.
func (m *Manager) watchOnce(ctx context.Context, w *watcher) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := m.pool.Conn(w.address)
	if err != nil {
		return err
	}
	stream, err := wire.NewAgentClient(conn).Watch(ctx)
	if err != nil {
		return err
	}
	received := make(chan *wire.AgentState)
	failed := make(chan error, 1)
	m.tasks.Go(func() {
		for {
			message, err := stream.Recv()
			if err != nil {
				failed <- err
				return
			}
			select {
			case received <- message:
			case <-ctx.Done():
				return
			}
		}
	})
	return m.runWatch(ctx, w, stream, received, failed)
}

func (m *Manager) runWatch(ctx context.Context, w *watcher, stream wire.Agent_WatchClient, received <-chan *wire.AgentState, failed <-chan error) error {
	number := m.streams.Add(1)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	silence := time.NewTimer(watchSilence)
	defer silence.Stop()
	var last *wire.AgentState
	var sent uint64
	// agentsNamed and agentsSent are the versions of the list of agents in the last
	// message and in the last one with the list. The agent lacks a list that it was told
	// of and does not name: it may have it from another entry.
	var agentsNamed, agentsSent uint64
	lacksAgents := false
	var link delta.Codec[*wire.EntryState, *wire.AgentState]
	send := func() error {
		var message *wire.EntryState
		if err := m.do(ctx, func(s *state) { message = s.entryState(last, lacksAgents) }); err != nil {
			return err
		}
		agentsNamed, lacksAgents = message.AgentsVersion, false
		if len(message.Agents) > 0 {
			agentsSent = message.AgentsVersion
		}
		if message.ConfigText != "" {
			sent = message.ConfigRevision
		}
		return stream.Send(link.Encode(message))
	}
	if err := send(); err != nil {
		return err
	}
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err = <-failed:
		case <-silence.C:
			err = errSilent
		case <-w.wake:
			err = send()
		case <-heartbeat.C:
			err = send()
		case message := <-received:
			silence.Reset(watchSilence)
			if message, err = link.Decode(message); err != nil {
				return err
			}
			report := membership.Report{Stream: number, State: message}
			err = m.do(ctx, func(s *state) {
				s.observeAgent(report)
				lacksAgents = agentsNamed == s.agentsVersion && message.GetAgentsVersion() != s.agentsVersion
			})
			last = message
			if lacksAgents && agentsSent != agentsNamed {
				signal(w.wake)
			}
			// Bring an agent up to date at once, but send the text only once between heartbeats.
			if own := adoption.RevisionOf(m.Config()); last.GetConfigRevision() < own && sent < own {
				signal(w.wake)
			}
		}
		if err != nil {
			return err
		}
	}
}
