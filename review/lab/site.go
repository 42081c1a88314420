package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// program and entryRole are the command of the role entry in the deploy file.
	program   = "target/tarragonwalk"
	entryRole = "entry"
	host      = "ficu95.example"
	portFront = 8144
	portReady = 8140
	portPlane = 8146
	portNames = 8143
)

// entry is one process of the system on an address of its own.
type entry struct {
	name, zone, region, ip string
	settings               string
	log                    *os.File
	command                *exec.Cmd
	ended                  chan struct{}
}

func (e *entry) front() string { return fmt.Sprintf("%s:%d", e.ip, portFront) }
func (e *entry) ready() string { return fmt.Sprintf("%s:%d", e.ip, portReady) }
func (e *entry) plane() string { return fmt.Sprintf("%s:%d", e.ip, portPlane) }
func (e *entry) names() string { return fmt.Sprintf("%s:%d", e.ip, portNames) }

// site is a small deployment.
type site struct {
	root, folder, prefix string
	store                *store
	fleet                *fleet
	workers              []*worker
	entries              []*entry
	// statusSeconds is the bound status_s.
	statusSeconds int
	memory        int
	began         time.Time
	recordLock    sync.Mutex
	record        *os.File
}

var zones = map[string]string{"taff-a": "cymru-south", "taff-b": "cymru-south", "menai-a": "cymru-north"}

// newSite opens record.txt in a folder and starts the store; the working directory is the root of the repository.
func newSite(recordPath string) (*site, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	s := &site{
		folder:        folder,
		fleet:         newFleet(),
		statusSeconds: 120,
		memory:        284,
		began:         time.Now(),
		record:        record,
	}
	if s.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	s.store, err = newStore(s.prefix + ".200:0")

	return s, err
}

// freePrefix returns the first three numbers of loopback addresses on which the ports of the entries are free.
func freePrefix() (string, error) {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(256))
		free := true
		for n := 1; n <= 10 && free; n++ {
			for _, port := range []int{portFront, portReady, portPlane, portNames, 7660, 9100} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", prefix, n, port))
				if err != nil {
					free = false

					break
				}
				l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}

	return "", fmt.Errorf("no free loopback addresses")
}

// note writes a line to the record.
func (s *site) note(format string, values ...any) {
	s.recordLock.Lock()
	defer s.recordLock.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, values...)
	fmt.Fprintln(s.record, line)
}

func (s *site) addWorker(service, zone string, slots int, streams bool) (*worker, error) {
	n := len(s.workers)
	w, err := newWorker(fmt.Sprintf("%s.%d:0", s.prefix, 100+n), fmt.Sprintf("i-%d-%d", n, time.Now().UnixNano()%1e6), service, zone, slots, s.fleet)
	if err != nil {
		return nil, err
	}
	w.streams = streams
	s.workers = append(s.workers, w)
	s.store.put("servers", w.id, w.entry())

	return w, nil
}

// addEntry prepares an entry instance that reaches the store at an address.
func (s *site) addEntry(zone, storeAddress string) (*entry, error) {
	n := len(s.entries) + 1
	e := &entry{
		name:     fmt.Sprintf("edge-%s-%d", zone, n),
		zone:     zone,
		region:   zones[zone],
		ip:       fmt.Sprintf("%s.%d", s.prefix, n),
		settings: filepath.Join(s.folder, fmt.Sprintf("boot-%d.toml", n)),
	}
	s.entries = append(s.entries, e)
	var seeds []string
	for i := 1; i <= 3; i++ {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", s.prefix, i, portPlane)))
	}
	text := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge","control","registry"]
ip = %q
zone = %q
region = %q
internal_ports = [7660,7675]
seeds = [%s]
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine","platform"]
[zones]
taff-a = "cymru-south"
menai-a = "cymru-north"
taff-b = "cymru-south"
[listen]
frontend = %q
ready = %q
control_plane = %q
directory = %q
[limits]
cpu_quota = 0.4
cores = 1
memory_mb = %d
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_ms = 4000
ack_ms = 5000
catch_up_s = 5
drain_ms = 2500
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2500
rollback_slack_ms = 250
max_skew_ms = 6000
recover_s = 12
pass_ms = 250
retry_after_s = 0
finish_s = 18
status_s = %d
cancel_ms = 3000
settle_ms = 1000
quota_overage = 0.1
ttl_max_s = 5
[platform]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, e.name, e.ip, e.zone, e.region, strings.Join(seeds, ","), e.front(), e.ready(), e.plane(), e.names(), s.memory, s.statusSeconds,
		storeAddress)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	e.log, err = os.Create(filepath.Join(s.folder, e.name+".log"))

	return e, err
}

func (s *site) start(e *entry) error {
	c := exec.Command(program, entryRole)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TARRAGONWALK_SETTINGS=" + e.settings}
	c.Stdout, c.Stderr = e.log, e.log
	c.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	e.command, e.ended = c, ended
	go func() {
		_ = c.Wait()
		close(ended)
	}()

	return nil
}

// configure writes the operator's first configuration.
func (s *site) configure(routes ...map[string]any) {
	s.store.put("config", "main", map[string]any{
		"version": 3, "routes": routes,
		"services": []map[string]any{
			{"name": "dele69a", "max_connections": 230, "health_path": "/healthz", "engine": map[string]any{"slots": 8}},
			{"name": "xano55b", "max_connections": 100, "health_path": "/healthz"},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// startAll starts all entries and waits until they are ready.
func (s *site) startAll() error {
	for _, e := range s.entries {
		if err := s.start(e); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if !s.waitReady(e, 20*time.Second) {
			return fmt.Errorf("%s is not ready: %s", e.name, e.state())
		}
	}
	s.note("%d entry instances are ready", len(s.entries))
	// Traffic starts 10 s after the machines do; the fleet has met well before.
	time.Sleep(5 * time.Second)

	return nil
}

// state returns whether the process runs, and the end of its log.
func (e *entry) state() string {
	state := "it runs"
	select {
	case <-e.ended:
		state = "it has ended, " + e.command.ProcessState.String()
	default:
	}
	text, _ := os.ReadFile(e.log.Name())

	return fmt.Sprintf("%s; its log ends with %q", state, text[max(0, len(text)-2000):])
}

func (s *site) waitReady(e *entry, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		p, err := fresh(time.Second).Get("http://" + e.ready() + "/v1/readyz")
		if err != nil {
			continue
		}
		p.Body.Close()
		if p.StatusCode == http.StatusOK {
			return true
		}
	}

	return false
}

func (s *site) kill(e *entry) {
	if e.command != nil {
		_ = e.command.Process.Kill()
		<-e.ended
	}
}

// close ends all processes. With LOGS set, their logs are kept there.
func (s *site) close() {
	for _, e := range s.entries {
		s.kill(e)
		if e.log != nil {
			e.log.Close()
		}
		if keep := os.Getenv("LOGS"); keep != "" {
			if text, err := os.ReadFile(e.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(keep, e.name+".log"), text, 0o600)
			}
		}
	}
	s.record.Close()
	os.RemoveAll(s.folder)
}

// resolve returns the front addresses that an entry names.
func resolve(e *entry, zone string) []string {
	p, err := (&http.Client{Timeout: time.Second}).Get("http://" + e.names() + "/v1/resolve?name=" + host + "&region=" + zones[zone] + "&zone=" + zone)
	if err != nil {
		return nil
	}
	defer p.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(p.Body).Decode(&answer) != nil {
		return nil
	}

	return answer.Addresses
}
