package exchange

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/membership"
	"tarragonwalk/core/message"
)

const (
	interval      = time.Second
	callTimeout   = time.Second
	fullMeshLimit = 16 // with fewer other instances, an instance exchanges with all of them in each round
	sampledPeers  = 3  // otherwise it exchanges with this many, chosen at random in each round
	maxWorkers    = 16
	// cancelRepeat is how long a cancelled job is repeated in messages. It covers several rounds and the delay of the watch of the
	// open-job index.
	cancelRepeat = 30 * time.Second
	// markLifetime is the lifetime of a leaving mark, the same as markLifetime in core/membership.
	markLifetime = 30 * time.Second
	// cancelMemory is how long a cancelled job is remembered, so that it is not relayed again. It is far above cancelRepeat.
	cancelMemory = 10 * time.Minute
	// maxConfigurationBytes bounds a configuration from a peer; the store's value limit is 1 MB.
	maxConfigurationBytes = 1 << 20
)

// peers is the transport to other entry instances.
type peers interface {
	Exchange(ctx context.Context, a netip.AddrPort, m *message.Exchange) (*message.Exchange, error)
	Configuration(ctx context.Context, a netip.AddrPort, version int) (*message.ConfigurationReply, error)
}

// members is the table of instances.
type members interface {
	Live(at time.Time) []membership.Instance
	MarkLeaving(name string, at time.Time)
	RelayLeaving(name string, until, at time.Time) bool
}

// configurations is the holder of the configuration in force.
type configurations interface {
	Current() *configuration.Configuration
	Apply(c *configuration.Configuration) bool
}

// runner receives what peers report on open jobs.
type runner interface {
	ConfirmOpen(digest int64, at time.Time)
	CancelJobs(ids []string)
}

// online receives and provides the counts of online requests in flight.
type online interface {
	ObserveOnline(sender string, counts []message.OnlineCount, at time.Time)
	OnlineCounts(receiver string, at time.Time) []message.OnlineCount
	ObserveOthers(counts []message.OnlineCount, at time.Time)
	OthersOnline(receiver string, asked []message.OnlineCount, at time.Time) []message.OnlineCount
}

// Exchanger sends and answers the regular message. Its lock guards its own tables and is never held while a dependency is called.
type Exchanger struct {
	name           string
	clock          func() time.Time
	peers          peers
	members        members
	configurations configurations
	runner         runner
	online         online
	log            *slog.Logger

	lock            sync.Mutex
	leaving         map[string]time.Time // backend servers and instances whose mark is repeated until the time
	ownLeaving      bool
	cancelled       map[string]time.Time
	knownCancelled  map[string]time.Time // cancelled jobs that are not relayed again until the time
	openDigest      int64
	openConfirmedAt time.Time
}

// New returns an exchanger; Attach gives it the transport before Run.
func New(
	name string, clock func() time.Time, m members, c configurations, r runner, o online, log *slog.Logger,
) *Exchanger {
	return &Exchanger{
		name:           name,
		clock:          clock,
		members:        m,
		configurations: c,
		runner:         r,
		online:         o,
		log:            log,
		leaving:        map[string]time.Time{},
		cancelled:      map[string]time.Time{},
		knownCancelled: map[string]time.Time{},
	}
}

// Attach sets the transport, which is created after the exchanger because the exchanger is its handler.
func (e *Exchanger) Attach(p peers) {
	e.peers = p
}

// Run exchanges with peers each second until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		e.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Announce runs one round at once, for example when this instance starts to leave.
func (e *Exchanger) Announce(ctx context.Context) {
	e.round(ctx)
}

// SetLeaving makes all further messages say that this instance is leaving.
func (e *Exchanger) SetLeaving() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.ownLeaving = true
}

// Leaving reports whether this instance is leaving.
func (e *Exchanger) Leaving() bool {
	e.lock.Lock()
	defer e.lock.Unlock()

	return e.ownLeaving
}

// ReportLeaving repeats in messages, for markLifetime, that an instance is leaving. It is for first-hand evidence, not for marks
// received from peers.
func (e *Exchanger) ReportLeaving(name string) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.leaving[name] = e.clock().Add(markLifetime)
}

// ReportCancelled repeats in messages, for cancelRepeat, that a job was cancelled. Calls for a known job have no effect.
func (e *Exchanger) ReportCancelled(id string) {
	now := e.clock()
	e.lock.Lock()
	defer e.lock.Unlock()
	prune(e.knownCancelled, now)
	if _, ok := e.knownCancelled[id]; ok {
		return
	}
	e.knownCancelled[id] = now.Add(cancelMemory)
	e.cancelled[id] = now.Add(cancelRepeat)
}

// ObserveOpen records the digest of this instance's view of open jobs and when the store confirmed it.
func (e *Exchanger) ObserveOpen(digest int64, at time.Time) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.openDigest = digest
	if at.After(e.openConfirmedAt) {
		e.openConfirmedAt = at
	}
}

// HandleExchange answers a peer's regular message.
func (e *Exchanger) HandleExchange(m *message.Exchange) *message.Exchange {
	e.apply(m)

	return e.message(m.Sender)
}

// HandleConfiguration answers with the configuration in force.
func (e *Exchanger) HandleConfiguration(m *message.ConfigurationRequest) (*message.ConfigurationReply, error) {
	c := e.configurations.Current()
	if c == nil || c.Version < m.Version {
		return nil, fault.New(fault.CodeNotFound, "this instance does not have that configuration")
	}
	encoded, err := json.Marshal(c)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "cannot encode the configuration")
	}

	return &message.ConfigurationReply{
		Configuration: encoded,
	}, nil
}

// HandleOnline takes changed in-flight counts and returns those of the other instances on the same backend servers.
func (e *Exchanger) HandleOnline(m *message.OnlineNotice) []message.OnlineCount {
	now := e.clock()
	e.online.ObserveOnline(m.Sender, m.Online, now)

	return e.online.OthersOnline(m.Sender, m.Online, now)
}

func (e *Exchanger) round(ctx context.Context) {
	p := pool.New().WithMaxGoroutines(maxWorkers)
	for _, i := range e.choosePeers() {
		p.Go(func() { e.exchange(ctx, i) })
	}
	p.Wait()
}

func (e *Exchanger) choosePeers() []membership.Instance {
	others := []membership.Instance{}
	for _, i := range e.members.Live(e.clock()) {
		if i.Name != e.name {
			others = append(others, i)
		}
	}
	if len(others) < fullMeshLimit {
		return others
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })

	return others[:sampledPeers]
}

func (e *Exchanger) exchange(ctx context.Context, i membership.Instance) {
	sentAt := e.clock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := e.peers.Exchange(call, i.PeerAddress, e.message(i.Name))
	if err != nil {
		e.log.Debug("peer exchange failed", "peer", i.Name, "error", err)

		return
	}
	e.apply(reply)
	// Only the reply to a request of this instance has a bounded age. A received message may have waited in a socket while
	// this process was paused, so it must not confirm the view of open jobs.
	seenAt := sentAt.Add(-time.Duration(reply.JobsSeenAgoMillis) * time.Millisecond)
	e.runner.ConfirmOpen(int64(reply.JobsRevision), seenAt)
	if c := e.configurations.Current(); c == nil || reply.ConfigurationVersion > c.Version {
		e.fetchConfiguration(ctx, i, reply.ConfigurationVersion)
	}
}

func (e *Exchanger) fetchConfiguration(ctx context.Context, i membership.Instance, version int) {
	if version < 1 {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := e.peers.Configuration(call, i.PeerAddress, version)
	if err != nil || len(reply.Configuration) > maxConfigurationBytes {
		e.log.Warn("cannot get the configuration from a peer", "peer", i.Name, "version", version, "error", err)

		return
	}
	c, err := configuration.Decode(reply.Configuration)
	if err != nil {
		e.log.Warn("peer sent an invalid configuration", "peer", i.Name, "version", version, "error", err)

		return
	}
	if e.configurations.Apply(c) {
		e.log.Info("applied the configuration of a peer", "peer", i.Name, "version", c.Version)
	}
}

func (e *Exchanger) apply(m *message.Exchange) {
	now := e.clock()
	for _, k := range m.Marks {
		until := now.Add(time.Duration(k.EndsInMillis) * time.Millisecond)
		if k.Name != e.name && e.members.RelayLeaving(k.Name, until, now) {
			e.lock.Lock()
			e.leaving[k.Name] = until
			e.lock.Unlock()
		}
	}
	for _, name := range m.LeavingInstances {
		if name != e.name {
			e.members.MarkLeaving(name, now)
		}
	}
	if len(m.CancelledJobs) > 0 {
		e.runner.CancelJobs(m.CancelledJobs)
		for _, id := range m.CancelledJobs {
			e.ReportCancelled(id)
		}
	}
	e.online.ObserveOnline(m.Sender, m.Online, now)
	e.online.ObserveOthers(m.Others, now)
}

func (e *Exchanger) message(receiver string) *message.Exchange {
	now := e.clock()
	version := 0
	if c := e.configurations.Current(); c != nil {
		version = c.Version
	}
	counts := e.online.OnlineCounts(receiver, now)
	others := e.online.OthersOnline(receiver, nil, now)
	e.lock.Lock()
	defer e.lock.Unlock()
	m := &message.Exchange{
		Sender:               e.name,
		ConfigurationVersion: version,
		JobsRevision:         int(e.openDigest),
		JobsSeenAgoMillis:    int(now.Sub(e.openConfirmedAt).Milliseconds()),
		CancelledJobs:        prune(e.cancelled, now),
		Online:               counts,
		Others:               others,
	}
	for _, name := range prune(e.leaving, now) {
		if left := e.leaving[name].Sub(now).Milliseconds(); left > 0 {
			m.Marks = append(m.Marks, message.LeavingMark{
				Name:         name,
				EndsInMillis: int(min(left, markLifetime.Milliseconds())),
			})
		}
	}
	if e.openConfirmedAt.IsZero() {
		m.JobsSeenAgoMillis = int(time.Hour.Milliseconds())
	}
	if e.ownLeaving {
		m.LeavingInstances = []string{e.name}
	}

	return m
}

// prune removes entries whose time has passed and returns the rest.
func prune(entries map[string]time.Time, now time.Time) []string {
	names := []string{}
	for name, until := range entries {
		if now.After(until) {
			delete(entries, name)

			continue
		}
		names = append(names, name)
	}

	return names
}
