package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/dispatch"
	"tarragonwalk/core/experiment/delayproxy"
	"tarragonwalk/core/experiment/link"
	"tarragonwalk/core/experiment/preset"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/membership"
	"tarragonwalk/core/message"
	"tarragonwalk/io/engine"
	standin "tarragonwalk/io/standin/engine"
)

const (
	// Deployment is the name of the deployment that the backend servers run.
	Deployment = "model"
	// serviceDeployment is the deployment of the preset's other backend servers, which get no load.
	serviceDeployment = "service"

	// Limits of an entry instance.
	firstEventTime   = 5 * time.Second
	eventTime        = time.Second
	queueWait        = 2 * time.Second
	queueRequests    = 1024
	queueBytes       = 16 << 20
	exchangeInterval = time.Second
	cacheBlocks      = 1024
)

// Fleet is a set of engines and entry instances on loopback.
type Fleet struct {
	preset      preset.Preset
	engines     map[string]*standin.Engine
	workerNames []string
	firstWorker netip.AddrPort
	proxies     []*delayproxy.Proxy
	clients     []*engine.Client
	dispatchers []*dispatch.Dispatcher
	zones       []preset.Zone
	indexes     map[string]int
	mailboxes   [][]*mailbox
	answers     [][]*mailbox // indexed by receiver, then by the batch owner that answers
	table       *membership.Table
	stop        chan struct{}
	tasks       sync.WaitGroup
	serving     sync.WaitGroup
}

type fixedConfiguration struct {
	configuration *configuration.Configuration
}

func (f fixedConfiguration) Current() *configuration.Configuration {
	return f.configuration
}

// New starts a fleet; options configure each dispatcher.
func New(p preset.Preset, seed uint64, options ...func(*dispatch.Dispatcher)) (*Fleet, error) {
	f := &Fleet{
		preset:  p,
		engines: map[string]*standin.Engine{},
		indexes: map[string]int{},
		table:   membership.New(),
		stop:    make(chan struct{}),
	}
	servers, err := f.startEngines()
	if err != nil {
		f.Close()

		return nil, err
	}
	configurations, err := f.connect(servers)
	if err != nil {
		f.Close()

		return nil, err
	}
	f.firstWorker = servers[f.workerNames[0]].Address
	f.startInstances(configurations, seed, options)

	return f, nil
}

// Dispatchers returns the dispatchers of all entry instances.
func (f *Fleet) Dispatchers() []*dispatch.Dispatcher {
	return f.dispatchers
}

// Direct sends a request to the first backend server without a dispatcher.
func (f *Fleet) Direct(ctx context.Context, r *inference.Request, on func(inference.Event) error) error {
	return f.clients[0].Stream(ctx, f.firstWorker, r, on)
}

// Slow multiplies the step time of the backend server with the given index.
func (f *Fleet) Slow(worker int, factor float64) {
	f.engines[f.workerNames[worker]].Slow(factor)
}

// Close stops all instances and engines; no request may be running.
func (f *Fleet) Close() {
	close(f.stop)
	f.tasks.Wait()
	for _, c := range f.clients {
		c.Close()
	}
	for _, r := range f.proxies {
		r.Close()
	}
	for _, e := range f.engines {
		e.Close()
	}
	f.serving.Wait()
}

func (f *Fleet) startEngines() (map[string]configuration.BackendServer, error) {
	p := f.preset
	servers := map[string]configuration.BackendServer{}
	for _, z := range p.Zones {
		for n := range z.Workers {
			name := fmt.Sprintf("worker-%s-%d", z.Name, n)
			e := standin.New(
				standin.Steps(micros(p.StepMicros), micros(p.StreamMicros), p.Slots),
				standin.Prefill(time.Duration(p.PrefillNanosPerByte)),
				standin.CacheBlocks(cacheBlocks),
			)
			f.engines[name] = e
			f.workerNames = append(f.workerNames, name)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, fault.Wrap(err, fault.CodeUnavailable, "cannot listen for an engine")
			}
			f.serving.Go(func() { _ = e.Serve(l) }) // Close ends it.
			servers[name] = backendServer(z, Deployment, configuration.BackendKindEngine, p.Slots,
				netip.MustParseAddrPort(l.Addr().String()))
		}
		for n := range z.Services {
			servers[fmt.Sprintf("service-%s-%d", z.Name, n)] = backendServer(z, serviceDeployment,
				configuration.BackendKindService, p.Slots, netip.MustParseAddrPort("127.0.0.1:9"))
		}
	}

	return servers, nil
}

// connect returns the configuration for the instances of each zone. Addresses of backend servers in other zones are those of
// proxies that add the delay between the zones.
func (f *Fleet) connect(servers map[string]configuration.BackendServer) (map[string]*configuration.Configuration, error) {
	zones := map[string]preset.Zone{}
	for _, z := range f.preset.Zones {
		zones[z.Name] = z
	}
	links := map[string]*link.Link{}
	linkBetween := func(a, b string) *link.Link {
		if a == b {
			return nil
		}
		if links[a+" "+b] == nil {
			links[a+" "+b] = link.New(f.preset.LinkBytesPerSecond)
		}

		return links[a+" "+b]
	}
	configurations := map[string]*configuration.Configuration{}
	for _, z := range f.preset.Zones {
		c := &configuration.Configuration{
			Version:        1,
			Deployments:    configuration.ConfigurationDeployments{},
			BackendServers: configuration.ConfigurationBackendServers{},
		}
		for name, s := range servers {
			delay := f.preset.Delay(z, zones[s.Zone])
			if delay > 0 && s.Kind == configuration.BackendKindEngine {
				r, err := delayproxy.New(s.Address, delay, linkBetween(z.Region, s.Region), linkBetween(s.Region, z.Region))
				if err != nil {
					return nil, err
				}
				f.proxies = append(f.proxies, r)
				s.Address = r.Address()
			}
			c.BackendServers[name] = s
			c.Deployments[s.Deployment] = configuration.Deployment{
				Model:         s.Deployment,
				HeadroomRatio: f.preset.HeadroomRatio,
			}
		}
		configurations[z.Name] = c
	}

	return configurations, nil
}

func (f *Fleet) startInstances(
	configurations map[string]*configuration.Configuration, seed uint64, options []func(*dispatch.Dispatcher),
) {
	var all []membership.Instance
	for _, z := range f.preset.Zones {
		for n := range z.Instances {
			name := fmt.Sprintf("entry-%s-%d", z.Name, n)
			f.indexes[name] = len(all)
			f.zones = append(f.zones, z)
			all = append(all, membership.Instance{
				Name:   name,
				Role:   membership.RoleEntry,
				Zone:   z.Name,
				Region: z.Region,
				State:  membership.StateLive,
			})
		}
	}
	f.table.Observe(all, time.Now())
	for n, self := range all {
		client := engine.New(firstEventTime, eventTime)
		f.clients = append(f.clients, client)
		random := rand.New(rand.NewPCG(seed, uint64(n))) //nolint:gosec // spreads load only
		f.dispatchers = append(f.dispatchers, dispatch.New(client, fixedConfiguration{configurations[self.Zone]}, f.table, self,
			func(batchOwner string, count message.OnlineCount) {
				f.sendCounts(n, batchOwner, []message.OnlineCount{count})
			},
			time.Now, random, queueRequests, queueBytes, queueWait, eventTime, options...))
	}
	for n, self := range all {
		var row, answers []*mailbox
		for m, other := range all {
			answer := f.openMailbox(func(sent, counts []message.OnlineCount) {
				f.dispatchers[n].ObserveAnswer(other.Name, sent, counts, time.Now())
			})
			row = append(row, f.openMailbox(func(_, counts []message.OnlineCount) {
				now := time.Now()
				f.dispatchers[m].ObserveOnline(self.Name, counts, now)
				answer.post(counts, f.dispatchers[m].OthersOnline(self.Name, counts, now), now.Add(f.preset.Delay(f.zones[m], f.zones[n])))
			}))
			answers = append(answers, answer)
		}
		f.mailboxes = append(f.mailboxes, row)
		f.answers = append(f.answers, answers)
		f.tasks.Go(func() { f.exchange(n, all) })
	}
}

// openMailbox starts a mailbox that runs until the fleet is closed.
func (f *Fleet) openMailbox(deliver func(sent, counts []message.OnlineCount)) *mailbox {
	box := newMailbox()
	f.tasks.Go(func() { box.run(f.stop, deliver) })

	return box
}

// exchange sends all counts to every other instance at a fixed interval, as core/exchange does.
func (f *Fleet) exchange(n int, all []membership.Instance) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
		for m, other := range all {
			if m == n {
				continue
			}
			now := time.Now()
			f.sendCounts(n, other.Name, f.dispatchers[n].OnlineCounts(other.Name, now))
			others := f.dispatchers[n].OthersOnline(other.Name, nil, now)
			f.answers[m][n].post(nil, others, now.Add(f.preset.Delay(f.zones[n], f.zones[m])))
		}
	}
}

func (f *Fleet) sendCounts(from int, receiver string, counts []message.OnlineCount) {
	m, ok := f.indexes[receiver]
	if !ok || len(counts) == 0 {
		return
	}
	f.mailboxes[from][m].post(nil, counts, time.Now().Add(f.preset.Delay(f.zones[from], f.zones[m])))
}

func backendServer(
	z preset.Zone, deployment string, kind configuration.BackendKind, slots int, a netip.AddrPort,
) configuration.BackendServer {
	return configuration.BackendServer{
		Address:    a,
		Deployment: deployment,
		Kind:       kind,
		Region:     z.Region,
		Slots:      slots,
		Zone:       z.Name,
	}
}

func micros(n int) time.Duration {
	return time.Duration(n) * time.Microsecond
}
