package instance

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/google/uuid"

	"tarragonwalk/core/background"
	"tarragonwalk/core/batch"
	"tarragonwalk/core/configuration"
	"tarragonwalk/core/dispatch"
	"tarragonwalk/core/exchange"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
	"tarragonwalk/core/lease"
	"tarragonwalk/core/membership"
	"tarragonwalk/core/message"
	"tarragonwalk/core/once"
	"tarragonwalk/core/onlinecount"
	"tarragonwalk/core/recording"
	"tarragonwalk/core/rollout"
	"tarragonwalk/io/caller"
	"tarragonwalk/io/certificate"
	"tarragonwalk/io/configstore"
	"tarragonwalk/io/engine"
	"tarragonwalk/io/instancelist"
	"tarragonwalk/io/jobstore"
	"tarragonwalk/io/objectstore"
	"tarragonwalk/io/operator"
	"tarragonwalk/io/peer"
	"tarragonwalk/io/service"
	"tarragonwalk/io/settings"
)

const (
	// firstEventTimeout is the time without a first event after which a stream counts as silent. It allows for a queue inside the
	// engine and a long prompt.
	firstEventTimeout = 5 * time.Second
	// eventTimeout is the time without a further event after which a stream counts as silent. It is well above the 360 ms a
	// token of a straggler that is ten times slower than the usual objective of 36 ms.
	eventTimeout = time.Second
	// queueTimeout bounds the wait of an online request for a slot.
	queueTimeout = 2 * time.Second
	// serviceTimeout bounds a call of a plain service that sets no deadline.
	serviceTimeout = 60 * time.Second
)

// Indexes of Instance.listeners.
const (
	callerIndex = iota
	operatorIndex
	peerIndex
)

// Instance is one entry instance with all of its parts.
type Instance struct {
	settings    *settings.Settings
	log         *slog.Logger
	clock       func() time.Time
	incarnation string
	startedAt   time.Time

	objects    *objectstore.Client
	holder     *configuration.Holder
	configs    *configstore.Store
	table      *membership.Table
	list       *instancelist.Client
	engines    *engine.Client
	services   *service.Client
	dispatcher *dispatch.Dispatcher
	recorder   *recording.Recorder
	jobs       *jobstore.Store
	runner     *batch.Runner
	exchanger  *exchange.Exchanger
	node       *peer.Node
	notifier   *onlinecount.Notifier
	rollouts   *rollout.Manager
	caller     *caller.Server
	operator   *operator.Server

	listeners []net.Listener
	endpoints endpoints
	cancel    context.CancelFunc
	stopBatch context.CancelFunc
	tasks     background.Tasks
	batchTask background.Tasks
}

// endpoints are the bound addresses, which differ from the settings if a port is 0.
type endpoints struct {
	caller   netip.AddrPort
	operator netip.AddrPort
	peer     netip.AddrPort
}

// New returns an instance that is not started.
func New(s *settings.Settings, log *slog.Logger, clock func() time.Time) *Instance {
	return &Instance{
		settings:    s,
		log:         log.With("instance", s.Instance.Name),
		clock:       clock,
		incarnation: uuid.NewString(),
		startedAt:   clock(),
	}
}

// Start binds the listeners and starts all parts; a failure leaves nothing running.
func (i *Instance) Start() error {
	if err := i.listen(); err != nil {
		return err
	}
	err := i.build()
	if err == nil {
		err = i.enableTLS()
	}
	if err != nil {
		i.closeListeners()

		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	batchContext, stopBatch := context.WithCancel(ctx)
	i.stopBatch = stopBatch
	i.serve()
	i.tasks.Go(func() { i.configs.Follow(ctx) })
	i.tasks.Go(func() { i.list.Follow(ctx, i.observeList) })
	i.tasks.Go(func() { i.jobs.FollowOpen(ctx, i.observeOpen) })
	i.tasks.Go(func() { i.exchanger.Run(ctx) })
	i.tasks.Go(func() { i.notifier.Run(ctx) })
	i.batchTask.Go(func() { i.rollouts.Run(batchContext) })
	i.tasks.Go(func() { i.recorder.RunCoverage(ctx) })
	i.batchTask.Go(func() { i.runner.Run(batchContext) })
	i.log.Info("instance started", "caller", i.endpoints.caller.String(), "operator", i.endpoints.operator.String(),
		"peer", i.endpoints.peer.String(), "incarnation", i.incarnation)

	return nil
}

// CallerAddress returns the bound address of the callers' API.
func (i *Instance) CallerAddress() netip.AddrPort {
	return i.endpoints.caller
}

// OperatorAddress returns the bound address of the administration API.
func (i *Instance) OperatorAddress() netip.AddrPort {
	return i.endpoints.operator
}

// PeerAddress returns the bound address for other entry instances.
func (i *Instance) PeerAddress() netip.AddrPort {
	return i.endpoints.peer
}

func (i *Instance) listen() error {
	l := i.settings.Listen
	for _, b := range []struct {
		wanted netip.AddrPort
		bound  *netip.AddrPort
	}{
		{
			wanted: l.Caller,
			bound:  &i.endpoints.caller,
		},
		{
			wanted: l.Operator,
			bound:  &i.endpoints.operator,
		},
		{
			wanted: l.Peer,
			bound:  &i.endpoints.peer,
		},
	} {
		listener, err := net.Listen("tcp", b.wanted.String())
		if err != nil {
			i.closeListeners()

			return fault.Wrap(err, fault.CodeUnavailable, "cannot listen on "+b.wanted.String())
		}
		i.listeners = append(i.listeners, listener)
		*b.bound = netip.MustParseAddrPort(listener.Addr().String())
	}

	return nil
}

func (i *Instance) build() error {
	s := i.settings
	name := s.Instance.Name
	i.objects = objectstore.New(s.Platform.Store, s.Platform.StoreReadsPerSecond, s.Platform.StoreWritesPerSecond)
	i.holder = configuration.NewHolder()
	i.configs = configstore.New(i.objects, i.holder, s.Data.Folder, i.log)
	i.table = membership.New()
	i.table.Observe([]membership.Instance{i.self()}, i.clock())
	i.list = instancelist.New(s.Platform.InstanceList)
	i.engines = engine.New(firstEventTimeout, eventTimeout)
	i.services = service.New(serviceTimeout)
	i.dispatcher = dispatch.New(i.engines, currentHolder{holder: i.holder}, i.table, i.self(), i.notify, i.clock,
		newRandom(), s.Limits.QueueRequests, s.Limits.QueueBytes, queueTimeout, eventTimeout)
	i.jobs = jobstore.New(i.objects, i.batchLimits, i.clock)
	i.recorder = recording.New(i.dispatcher, currentHolder{holder: i.holder}, name, i.clock)
	i.runner = batch.New(i.objects, i.dispatcher, i.table, i.recorder, name, i.incarnation, i.clock, newRandom(), i.log)
	i.dispatcher.SetBatchCondition(i.runner.MayStart)
	i.jobs.UseRates(itemRates{
		holder: currentHolder{holder: i.holder},
		runner: i.runner,
	})
	i.exchanger = exchange.New(name, i.clock, i.table, i.holder, i.runner, i.dispatcher, i.log)
	i.node = peer.New(name, []byte(s.Peers.Secret), i.clock, i.exchanger)
	i.exchanger.Attach(i.node)
	i.notifier = onlinecount.New(i.node, i.table, i.dispatcher, i.clock, i.log)
	rolloutLease := lease.New(i.objects, rollout.LeaseKey(s.Instance.Zone), name, i.incarnation, i.clock)
	i.rollouts = rollout.New(i.engines, i.holder, i.table, rolloutLease, i.self(), i.clock, i.log)
	jobs := &announcingJobs{
		Store:     i.jobs,
		exchanger: i.exchanger,
		runner:    i.runner,
	}
	grace := time.Duration(s.Limits.StopGraceMillis) * time.Millisecond
	i.caller = caller.New(i.recorder, jobs, i.holder, i.table, once.New(i.objects, i.clock), i.services, *s.Limits,
		s.Instance.Zone, grace, i.log, i.clock)
	bootstrap, err := bootstrapKey(s.Operator.BootstrapKeyHash)
	if err != nil {
		return err
	}
	i.operator = operator.New(i.holder, i.configs, i.validate, func() any { return i.Status() },
		func() any { return i.recorder.Snapshot() }, bootstrap, i.log, i.clock)

	return nil
}

// enableTLS makes the listeners for callers and operators use TLS if the settings name a certificate.
func (i *Instance) enableTLS() error {
	l := i.settings.Listen
	if l.CertificateFile == "" {
		return nil
	}
	r, err := certificate.New(l.CertificateFile, l.KeyFile, i.clock, i.log)
	if err != nil {
		return err
	}
	i.caller.Secure(r.Listen)
	i.operator.Secure(r.Listen)

	return nil
}

func (i *Instance) self() membership.Instance {
	return membership.Instance{
		Name:          i.settings.Instance.Name,
		Role:          membership.RoleEntry,
		Zone:          i.settings.Instance.Zone,
		Region:        i.settings.Instance.Region,
		CallerAddress: i.endpoints.caller,
		PeerAddress:   i.endpoints.peer,
		State:         membership.StateLive,
	}
}

func (i *Instance) serve() {
	i.tasks.Go(func() { i.logServe("caller", i.caller.Serve(i.listeners[callerIndex])) })
	i.tasks.Go(func() { i.logServe("operator", i.operator.Serve(i.listeners[operatorIndex])) })
	i.tasks.Go(func() { i.logServe("peer", i.node.Serve(i.listeners[peerIndex])) })
}

func (i *Instance) logServe(part string, err error) {
	if err != nil {
		i.log.Error("listener ended", "part", part, "error", err)
	}
}

func (i *Instance) closeListeners() {
	for _, l := range i.listeners {
		l.Close()
	}
}

func (i *Instance) notify(batchOwner string, count message.OnlineCount) {
	i.notifier.Notify(batchOwner, count)
}

func (i *Instance) batchLimits() configuration.BatchDefaults {
	return currentHolder{holder: i.holder}.Current().Batch
}

func (i *Instance) validate(p configuration.Patch) error {
	_, err := configuration.ApplyPatch(i.holder.Current(), p)

	return err
}

func (i *Instance) observeOpen(jobs []job.OpenJob, revision int64, at time.Time) {
	i.exchanger.ObserveOpen(i.runner.ObserveOpen(jobs, revision, at), at)
	for _, o := range jobs {
		if o.Cancelled {
			i.exchanger.ReportCancelled(o.ID)
		}
	}
}

// observeList applies a list of the platform and notifies peers which instances are newly listed as leaving, as their own
// lists may lag.
func (i *Instance) observeList(list []membership.Instance, at time.Time) {
	for _, name := range i.table.Observe(list, at) {
		i.exchanger.ReportLeaving(name)
	}
}

func bootstrapKey(text string) ([sha256.Size]byte, error) {
	key := [sha256.Size]byte{}
	decoded, err := hex.DecodeString(text)
	if err != nil || (len(decoded) != 0 && len(decoded) != len(key)) {
		return key, fault.New(fault.CodeInvalid, "Operator.BootstrapKeyHash is not a hex SHA-256 digest")
	}
	copy(key[:], decoded)

	return key, nil
}

// newRandom returns a new source, since a source is not safe for concurrent use and must not be shared.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // spreads load only
}
