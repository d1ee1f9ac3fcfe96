package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/wire"
)

const (
	exchangeInterval = 500 * time.Millisecond
	exchangeFanout   = 2
	exchangeTimeout  = time.Second
	// maxParallelExchanges limits the concurrent exchanges when state is pushed to all peers.
	maxParallelExchanges = 16
)

// exchangeLoop exchanges state with exchangeFanout random peers at each interval and on
// pushSome, and with all peers on pushAll.
func (m *Manager) exchangeLoop(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxParallelExchanges)
	for {
		limit := exchangeFanout
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.pushSome:
		case <-m.pushAll:
			limit = 0
		}
		m.exchangeWith(ctx, limit, slots)
	}
}

// exchangeWith starts exchanges with up to limit random peers, or with all if limit is 0.
func (m *Manager) exchangeWith(ctx context.Context, limit int, slots chan struct{}) {
	var peers []string
	_ = m.do(ctx, func(s *state) {
		for address := range s.peers {
			peers = append(peers, address)
		}
	})
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if limit > 0 && len(peers) > limit {
		peers = peers[:limit]
	}
	for _, address := range peers {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		m.tasks.Go(func() {
			defer func() { <-slots }()
			err := m.exchange(ctx, address)
			m.metrics.exchanges.WithLabelValues(outcome(err)).Inc()
		})
	}
}

// exchange exchanges state with one peer. The configuration text is sent in a second call,
// and only if the peer has an older revision.
func (m *Manager) exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := m.pool.Conn(address)
	if err != nil {
		return err
	}
	client := wire.NewPeerClient(conn)
	request, err := m.peerState(ctx, address, nil)
	if err != nil {
		return err
	}
	response, err := client.Exchange(ctx, request)
	if err != nil {
		return err
	}
	if err := m.mergePeer(ctx, response); err != nil {
		return err
	}
	if response.GetConfigRevision() >= adoption.RevisionOf(m.Config()) {
		return nil
	}
	if request, err = m.peerState(ctx, address, response); err != nil {
		return err
	}
	_, err = client.Exchange(ctx, request)
	return err
}

// peerState returns the items of this entry's state that the peer at address has not merged.
// last is the peer's last message, or nil.
func (m *Manager) peerState(ctx context.Context, address string, last *wire.PeerState) (*wire.PeerState, error) {
	var message *wire.PeerState
	if err := m.do(ctx, func(s *state) { message = s.peerState() }); err != nil {
		return nil, err
	}
	config := m.Config()
	if config != nil {
		message.ConfigRevision = config.Revision
		message.ConfigOperator = config.Operator
		message.ConfigChangeId = config.ChangeID
		if last != nil && last.GetConfigRevision() < config.Revision {
			message.ConfigText = config.Text
		}
	}
	m.delegatesMu.Lock()
	defer m.delegatesMu.Unlock()
	for _, delegate := range m.options.Delegates {
		delegate.Contribute(message)
	}
	m.changes.makeDelta(message, address, time.Now())
	return message, nil
}

func (s *state) peerState() *wire.PeerState {
	self := s.self()
	now := time.Now().UnixMilli()
	message := &wire.PeerState{
		Entry:       s.manager.options.Settings.Name,
		Incarnation: self.Incarnation,
		Sequence:    s.manager.sequence.Add(1),
		Address:     self.Address,
		Zone:        self.Zone,
		Withdrawn:   s.manager.withdrawn.list(),
		Leaving:     self.Leaving,
		LeavingVms:  s.drained,
		Acks:        []*wire.NodeAck{ackOf(self, now)},
	}
	for _, entry := range s.entries {
		message.Acks = append(message.Acks, ackOf(entry.node, entry.clock))
	}
	return message
}

func ackOf(node Node, clock int64) *wire.NodeAck {
	return &wire.NodeAck{
		Node:           node.Name,
		Incarnation:    node.Incarnation,
		ConfigRevision: node.Revision,
		SeenUnixMs:     clock,
		Address:        node.Address,
	}
}

func (m *Manager) mergePeer(ctx context.Context, message *wire.PeerState) error {
	m.mergeWithdrawn(message.GetWithdrawn())
	err := m.do(ctx, func(s *state) { s.mergePeer(message) })
	m.delegatesMu.Lock()
	defer m.delegatesMu.Unlock()
	for _, delegate := range m.options.Delegates {
		delegate.Merge(message)
	}
	if err == nil {
		m.changes.recordMerged(message, time.Now())
	}
	return err
}

func (s *state) mergePeer(message *wire.PeerState) {
	sender := roleEntry + "/" + message.GetEntry()
	for _, ack := range message.GetAcks() {
		node := Node{
			Name:        ack.GetNode(),
			Address:     ack.GetAddress(),
			Role:        roleEntry,
			Incarnation: ack.GetIncarnation(),
			Revision:    ack.GetConfigRevision(),
		}
		direct := node.Name == sender
		if direct {
			node.Zone, node.Leaving = message.GetZone(), message.GetLeaving()
		}
		s.observeEntry(node, ack.GetSeenUnixMs(), direct)
	}
	if message.GetConfigText() != "" {
		s.adopt(adoption.Candidate{
			Revision: message.GetConfigRevision(),
			Text:     message.GetConfigText(),
			Operator: message.GetConfigOperator(),
			ChangeID: message.GetConfigChangeId(),
		})
	}
	if !s.drainedKnown {
		s.setDrained(union(s.drained, message.GetLeavingVms()))
	}
}

func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// peerServer implements the Peer service.
type peerServer struct {
	wire.UnimplementedPeerServer
	manager *Manager
	// mu limits the exchanges started by peers to one at a time.
	mu sync.Mutex
}

// Exchange implements wire.PeerServer.
func (p *peerServer) Exchange(ctx context.Context, request *wire.PeerState) (*wire.PeerState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.manager.mergePeer(ctx, request); err != nil {
		return nil, err
	}
	return p.manager.peerState(ctx, request.GetAddress(), request)
}
