package onlinecount

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"tarragonwalk/core/background"
	"tarragonwalk/core/membership"
	"tarragonwalk/core/message"
)

const (
	callTimeout = 500 * time.Millisecond
	maxMessages = 16
	// repeatInterval is less than half of the 10 s after which a batch owner drops a count, so that one message may be lost.
	repeatInterval = 4 * time.Second
	// fullMeshLimit is the number of instances up to which the regular exchange repeats the counts to every batch owner.
	fullMeshLimit = 16
)

// sender is the transport to other entry instances.
type sender interface {
	Online(ctx context.Context, a netip.AddrPort, counts []message.OnlineCount) (others []message.OnlineCount, err error)
}

// online provides the counts of this instance and receives those of other instances that a batch owner reports.
type online interface {
	ObserveAnswer(batchOwner string, sent, others []message.OnlineCount, at time.Time)
	OnlineCounts(receiver string, at time.Time) []message.OnlineCount
}

// members is the table of instances.
type members interface {
	Live(at time.Time) []membership.Instance
}

// Notifier sends counts to batch owners without blocking its caller. A count that changes while a message is in flight to a batch owner
// is sent in the next one, so that a burst costs few messages.
type Notifier struct {
	sender  sender
	members members
	online  online
	clock   func() time.Time
	log     *slog.Logger
	wake    chan struct{}

	tasks background.Tasks

	// lock guards the fields below.
	lock    sync.Mutex
	pending map[string]map[string]int // batch owner to backend server to count
	sending map[string]bool           // batch owners to which a message is in flight
}

// New returns a notifier.
func New(s sender, m members, o online, clock func() time.Time, log *slog.Logger) *Notifier {
	return &Notifier{
		sender:  s,
		members: m,
		online:  o,
		clock:   clock,
		log:     log,
		wake:    make(chan struct{}, 1),
		pending: map[string]map[string]int{},
		sending: map[string]bool{},
	}
}

// Notify queues a count for a batch owner and returns at once.
func (n *Notifier) Notify(batchOwner string, count message.OnlineCount) {
	n.lock.Lock()
	counts := n.pending[batchOwner]
	if counts == nil {
		counts = map[string]int{}
		n.pending[batchOwner] = counts
	}
	counts[count.BackendServer] = count.InFlight
	n.lock.Unlock()
	n.signal()
}

func (n *Notifier) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run sends queued counts until ctx ends. In a large fleet it also repeats unchanged counts.
func (n *Notifier) Run(ctx context.Context) {
	t := time.NewTicker(repeatInterval)
	defer t.Stop()
	defer n.tasks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		case <-t.C:
			n.repeat()
		}
		n.flush(ctx)
	}
}

// repeat queues the current counts for all batch owners. In a large fleet, two given instances exchange messages only about once a
// minute. Without repeats the batch owner would drop the count of a long stream and run batch work in its slot.
func (n *Notifier) repeat() {
	now := n.clock()
	live := n.members.Live(now)
	if len(live) <= fullMeshLimit {
		return
	}
	for _, i := range live {
		for _, count := range n.online.OnlineCounts(i.Name, now) {
			n.Notify(i.Name, count)
		}
	}
}

// flush starts a message to each batch owner that has pending counts and no message in flight, so that one that does not answer
// delays no other.
func (n *Notifier) flush(ctx context.Context) {
	addresses := map[string]netip.AddrPort{}
	for _, i := range n.members.Live(n.clock()) {
		addresses[i.Name] = i.PeerAddress
	}
	n.lock.Lock()
	defer n.lock.Unlock()
	for batchOwner, counts := range n.pending {
		a, ok := addresses[batchOwner]
		if ok && (n.sending[batchOwner] || len(n.sending) >= maxMessages) {
			continue
		}
		delete(n.pending, batchOwner)
		if !ok {
			continue
		}
		n.sending[batchOwner] = true
		n.tasks.Go(func() {
			n.send(ctx, batchOwner, a, counts)
			n.lock.Lock()
			delete(n.sending, batchOwner)
			more := len(n.pending) > 0
			n.lock.Unlock()
			if more {
				n.signal()
			}
		})
	}
}

// send makes a single attempt, since the next regular exchange or repeat sends the count again.
func (n *Notifier) send(ctx context.Context, batchOwner string, a netip.AddrPort, counts map[string]int) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list := make([]message.OnlineCount, 0, len(counts))
	for name, count := range counts {
		list = append(list, message.OnlineCount{
			BackendServer: name,
			InFlight:      count,
		})
	}
	others, err := n.sender.Online(call, a, list)
	if err != nil {
		n.log.Debug("online notice failed", "peer", batchOwner, "error", err)

		return
	}
	n.online.ObserveAnswer(batchOwner, list, others, n.clock())
}
