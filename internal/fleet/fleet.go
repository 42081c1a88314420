package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"time"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/instance"
	"tarragonwalk/core/lease"
	"tarragonwalk/core/membership"
	"tarragonwalk/internal/selfsigned"
	"tarragonwalk/io/apiclient"
	storeclient "tarragonwalk/io/objectstore"
	"tarragonwalk/io/settings"
	"tarragonwalk/io/standin/engine"
	"tarragonwalk/io/standin/instancelist"
	"tarragonwalk/io/standin/objectstore"
	"tarragonwalk/io/standin/service"
)

const (
	// BootstrapKey creates the first configuration.
	BootstrapKey      = "bootstrap-example-key"
	peerSecret        = "example-secret-of-the-fleet"
	listLag           = 300 * time.Millisecond
	storeReads        = 500
	storeWrites       = 200
	stopGrace         = 200
	awaitTimeout      = 20 * time.Second
	awaitPollInterval = 20 * time.Millisecond
	anyPort           = "127.0.0.1:0"
	closedPort        = "127.0.0.1:1" // no process listens on this port
)

// Fleet is a set of stand-ins and the entry instances in front of them. It is not safe for concurrent use.
type Fleet struct {
	Store     *objectstore.Store
	List      *instancelist.List
	Engines   map[string]*engine.Engine
	Services  map[string]*service.Service
	Instances map[string]*instance.Instance

	log       *slog.Logger
	store     netip.AddrPort
	list      netip.AddrPort
	addresses map[string]netip.AddrPort // of backend servers
	entries   map[string]membership.Instance
}

// New starts the store and the instance list.
func New(log *slog.Logger) (*Fleet, error) {
	f := &Fleet{
		Store:     objectstore.New(1),
		List:      instancelist.New(listLag),
		Engines:   map[string]*engine.Engine{},
		Services:  map[string]*service.Service{},
		Instances: map[string]*instance.Instance{},
		log:       log,
		addresses: map[string]netip.AddrPort{},
		entries:   map[string]membership.Instance{},
	}
	var err error
	if f.store, err = serve(f.Store.Serve); err != nil {
		return nil, err
	}
	if f.list, err = serve(f.List.Serve); err != nil {
		return nil, err
	}

	return f, nil
}

// StartBackends starts a stand-in for each backend server of c and sets the server's address in c.
func (f *Fleet) StartBackends(c *configuration.Configuration, options ...func(*engine.Engine)) error {
	for name, b := range c.BackendServers {
		var start func(net.Listener) error
		if b.Kind == configuration.BackendKindService {
			f.Services[name] = service.New()
			start = f.Services[name].Serve
		} else {
			f.Engines[name] = engine.New(append(slices.Clone(options), engine.Fencing(b.ChecksFencing))...)
			start = f.Engines[name].Serve
		}
		address, err := serve(start)
		if err != nil {
			return err
		}
		b.Address = address
		c.BackendServers[name] = b
		f.List.Set(membership.Instance{
			Name:   name,
			Role:   membership.RoleBackend,
			Zone:   b.Zone,
			Region: b.Region,
			State:  membership.StateLive,
		})
	}

	return nil
}

// StartInstance starts an entry instance and adds it to the instance list.
func (f *Fleet) StartInstance(name, zone, region string) error {
	return f.startInstance(name, zone, region, f.store, selfsigned.Pair{})
}

// StartSecureInstance starts an entry instance that serves callers and operators over TLS.
func (f *Fleet) StartSecureInstance(name, zone, region string, p selfsigned.Pair) error {
	return f.startInstance(name, zone, region, f.store, p)
}

// StartInstanceWithoutStore starts an entry instance that can never reach the store.
func (f *Fleet) StartInstanceWithoutStore(name, zone, region string) error {
	return f.startInstance(name, zone, region, netip.MustParseAddrPort(closedPort), selfsigned.Pair{})
}

func (f *Fleet) startInstance(name, zone, region string, store netip.AddrPort, p selfsigned.Pair) error {
	s := &settings.Settings{
		Instance: settings.InstanceSettings{
			Name:   name,
			Zone:   zone,
			Region: region,
		},
		Listen: settings.ListenSettings{
			Caller:   netip.MustParseAddrPort(anyPort),
			Operator: netip.MustParseAddrPort(anyPort),
			Peer:     netip.MustParseAddrPort(anyPort),

			CertificateFile: p.CertificateFile,
			KeyFile:         p.KeyFile,
		},
		Platform: settings.PlatformSettings{
			Store:                store,
			InstanceList:         f.list,
			StoreReadsPerSecond:  storeReads,
			StoreWritesPerSecond: storeWrites,
		},
		Peers: settings.PeerSettings{
			Secret: peerSecret,
		},
		Operator: &settings.OperatorSettings{
			BootstrapKeyHash: HashKey(BootstrapKey),
		},
		Limits: &settings.LimitSettings{
			StopGraceMillis: stopGrace,
		},
	}
	settings.FillDefaults(s)
	i := instance.New(s, f.log, time.Now)
	if err := i.Start(); err != nil {
		return err
	}
	f.Instances[name] = i
	f.entries[name] = membership.Instance{
		Name:          name,
		Role:          membership.RoleEntry,
		Zone:          zone,
		Region:        region,
		CallerAddress: i.CallerAddress(),
		PeerAddress:   i.PeerAddress(),
		State:         membership.StateLive,
	}
	f.List.Set(f.entries[name])

	return nil
}

// Configure creates the first configuration through an instance and waits until it is in force on all.
func (f *Fleet) Configure(through string, c *configuration.Configuration) error {
	document, err := json.Marshal(c)
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot encode the configuration")
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(document, &fields); err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot encode the configuration")
	}
	delete(fields, "Version")
	patch, err := json.Marshal(fields)
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot encode the configuration")
	}
	version, err := f.Patch(through, BootstrapKey, 0, patch)
	if err != nil {
		return err
	}

	return f.AwaitVersion(version)
}

// Patch submits a patch through an instance and returns the new version.
func (f *Fleet) Patch(through, key string, base int, patch []byte) (int, error) {
	body, err := json.Marshal(configuration.Patch{
		BaseVersion: base,
		Patch:       patch,
	})
	if err != nil {
		return 0, fault.Wrap(err, fault.CodeInternal, "cannot encode the patch")
	}
	answer, err := f.Operator(through, key).Post("/admin/v1/configuration/patches", body, nil)
	if err != nil {
		return 0, err
	}
	c := configuration.Configuration{}
	if err := apiclient.Decode(answer, &c); err != nil {
		return 0, err
	}

	return c.Version, nil
}

// AwaitVersion waits until a configuration version is in force on every running instance.
func (f *Fleet) AwaitVersion(version int) error {
	return Await(func() bool {
		for _, i := range f.Instances {
			if i.Status().ConfigurationVersion < version {
				return false
			}
		}

		return true
	})
}

// AwaitInstances waits until every running instance considers exactly the running ones live.
func (f *Fleet) AwaitInstances() error {
	return Await(func() bool {
		for _, i := range f.Instances {
			if len(i.Status().LiveInstances) != len(f.Instances) {
				return false
			}
		}

		return true
	})
}

// Kill ends an instance without a graceful stop and removes it from the instance list, which shows this after its lag.
func (f *Fleet) Kill(name string) {
	f.Instances[name].Kill()
	delete(f.Instances, name)
	f.List.Remove(name)
}

// Stop stops an instance gracefully; like any planned stop, it is first announced in the instance list.
func (f *Fleet) Stop(ctx context.Context, name string) error {
	entry := f.entries[name]
	entry.State = membership.StateLeaving
	f.List.Set(entry)
	i := f.Instances[name]
	delete(f.Instances, name)
	err := i.Stop(ctx)
	f.List.Remove(name)

	return err
}

// LeaseHolder returns the holder of a lease according to the store, or an empty string.
func (f *Fleet) LeaseHolder(key string) string {
	c := storeclient.New(f.store, storeReads, storeWrites)
	defer c.Close()
	value, _, err := c.Get(context.Background(), key)
	record := lease.Record{}
	if err != nil || json.Unmarshal(value, &record) != nil {
		return ""
	}

	return record.Holder
}

// Close stops all instances and stand-ins immediately.
func (f *Fleet) Close() {
	for name := range f.Instances {
		f.Kill(name)
	}
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.Services {
		s.Close()
	}
	f.List.Close()
	f.Store.Close()
}

// Caller returns a client of an instance's callers' API.
func (f *Fleet) Caller(name, key string) *apiclient.Client {
	return apiclient.New("http://"+f.Instances[name].CallerAddress().String(), key)
}

// Operator returns a client of an instance's administration API.
func (f *Fleet) Operator(name, key string) *apiclient.Client {
	return apiclient.New("http://"+f.Instances[name].OperatorAddress().String(), key)
}

// HashKey returns the SHA-256 digest of a key in hex, the form used in the configuration.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))

	return hex.EncodeToString(sum[:])
}

// Await polls until done is true and fails after 20 s.
func Await(done func() bool) error {
	deadline := time.Now().Add(awaitTimeout)
	for !done() {
		if time.Now().After(deadline) {
			return fault.New(fault.CodeDeadlinePassed, "the awaited state was not reached in time")
		}
		time.Sleep(awaitPollInterval)
	}

	return nil
}

func serve(run func(net.Listener) error) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return netip.AddrPort{}, fault.Wrap(err, fault.CodeUnavailable, "cannot listen on loopback")
	}
	address := netip.MustParseAddrPort(l.Addr().String())
	go func() { _ = run(l) }()

	return address, nil
}
