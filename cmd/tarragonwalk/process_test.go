package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/job"
	"tarragonwalk/core/membership"
	"tarragonwalk/examples"
	"tarragonwalk/io/openai"
)

const (
	processItems   = 400
	bootstrapKey   = "bootstrap-key"
	workspaceKey   = "garth-ddu-example-key"
	operatorKey    = "operator-example-key"
	processEngines = 3
)

// processes runs the built program as separate processes on loopback.
type processes struct {
	t       *testing.T
	program string
	folder  string
	running map[string]*exec.Cmd
	caller  map[string]string
	admin   map[string]string
	backend map[string]string
}

func buildProgram(t *testing.T) *processes {
	t.Helper()
	folder := t.TempDir()
	program := filepath.Join(folder, "tarragonwalk")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	p := &processes{
		t:       t,
		program: program,
		folder:  folder,
		running: map[string]*exec.Cmd{},
		caller:  map[string]string{},
		admin:   map[string]string{},
		backend: map[string]string{},
	}
	t.Cleanup(func() {
		for _, c := range p.running {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	})

	return p
}

func (p *processes) start(name string, arguments ...string) {
	p.t.Helper()
	c := exec.Command(p.program, arguments...)
	log, err := os.Create(filepath.Join(p.folder, name+".log"))
	if err != nil {
		p.t.Fatal(err)
	}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.running[name] = c
}

func (p *processes) signal(name string, s syscall.Signal) {
	p.t.Helper()
	if err := p.running[name].Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// run runs a client command and returns its output and exit code.
func (p *processes) run(arguments ...string) (string, int) {
	c := exec.Command(p.program, arguments...)
	var out bytes.Buffer
	c.Stdout, c.Stderr = &out, &out
	_ = c.Run()

	return out.String(), c.ProcessState.ExitCode()
}

func (p *processes) await(what string, done func() bool) {
	p.t.Helper()
	deadline := time.Now().Add(90 * time.Second)
	for !done() {
		if time.Now().After(deadline) {
			p.t.Fatalf("%s was not reached in time; ends of the logs:\n%s", what, p.logEnds())
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// logEnds returns the last bytes that each process has written.
func (p *processes) logEnds() string {
	const most = 1000
	var all strings.Builder
	for name := range p.running {
		text, _ := os.ReadFile(filepath.Join(p.folder, name+".log"))
		fmt.Fprintf(&all, "%s: %s\n", name, text[max(0, len(text)-most):])
	}

	return all.String()
}

func (p *processes) write(name string, content []byte) string {
	p.t.Helper()
	path := filepath.Join(p.folder, name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		p.t.Fatal(err)
	}

	return path
}

// usedAddresses are those that freeAddress has returned.
var usedAddresses sync.Map

// freeAddress returns an address that nobody listens on. Its port is below those that the system gives to outgoing connections: one
// of these took such a port before the process that was to listen there had started.
func freeAddress(t *testing.T) string {
	t.Helper()
	const lowest, count = 10_000, 20_000
	for {
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", lowest+rand.IntN(count)))
		if err != nil {
			continue
		}
		l.Close()
		// The address may have been returned before and not be in use yet.
		if _, used := usedAddresses.LoadOrStore(l.Addr().String(), true); !used {
			return l.Addr().String()
		}
	}
}

func digestOf(key string) string {
	sum := sha256.Sum256([]byte(key))

	return hex.EncodeToString(sum[:])
}

// startFleet starts the stand-ins and three entry instances with the example configuration.
func startFleet(t *testing.T) *processes {
	p := buildProgram(t)
	store, list := freeAddress(t), freeAddress(t)
	p.start("store", "standin", "store", "--listen", store)
	zones := []string{"taff-a", "taff-b", "menai-a"}
	entries := membership.InstanceList{}
	settings := map[string]string{}
	for n, zone := range zones {
		name := fmt.Sprintf("entry-%d", n+1)
		c, o, r := freeAddress(t), freeAddress(t), freeAddress(t)
		p.caller[name], p.admin[name] = "http://"+c, "http://"+o
		settings[name] = p.write(name+".toml", fmt.Appendf(nil, `[Instance]
Name = %q
Zone = %q
Region = "cymru-south"
[Listen]
Caller = %q
Operator = %q
Peer = %q
[Platform]
Store = %q
InstanceList = %q
[Peers]
Secret = "a-secret-of-the-test-fleet"
[Operator]
BootstrapKeyHash = %q
[Limits]
StopGraceMillis = 200
`, name, zone, c, o, r, store, list, digestOf(bootstrapKey)))
		e := membership.Instance{
			Name:   name,
			Role:   membership.RoleEntry,
			Zone:   zone,
			Region: "cymru-south",
			State:  membership.StateLive,
		}
		_ = e.CallerAddress.UnmarshalText([]byte(c))
		_ = e.PeerAddress.UnmarshalText([]byte(r))
		entries.Instances = append(entries.Instances, e)
	}
	text, _ := json.Marshal(entries)
	p.start("instances", "standin", "instances", "--listen", list, "--file", p.write("instances.json", text))
	for n := range processEngines {
		name := fmt.Sprintf("drafting-%d", n+1)
		p.backend[name] = freeAddress(t)
		p.start(name, "standin", "engine", "--listen", p.backend[name], "--base", "3ms", "--per-stream", "100us")
	}
	for name := range settings {
		p.start(name, "serve", "--settings", settings[name])
	}
	p.configure()

	return p
}

func (p *processes) configure() {
	p.t.Helper()
	text, err := examples.Files.ReadFile("configuration.json")
	if err != nil {
		p.t.Fatal(err)
	}
	c := map[string]any{}
	if err := json.Unmarshal(text, &c); err != nil {
		p.t.Fatal(err)
	}
	servers := c["BackendServers"].(map[string]any)
	for name, s := range servers {
		if a, ok := p.backend[name]; ok {
			s.(map[string]any)["Address"] = a
		} else if strings.HasPrefix(name, "drafting-") {
			delete(servers, name)
		}
	}
	text, _ = json.Marshal(c)
	path := p.write("configuration.json", text)
	p.await("the first configuration", func() bool {
		_, code := p.run("config", "patch", "--url", p.admin["entry-1"], "--key", bootstrapKey, "--base", "0", "--file", path)

		return code == exitOK || code == exitConflict
	})
	for name := range p.admin {
		p.await("version 1 on "+name, func() bool {
			out, code := p.run("status", "--url", p.admin[name], "--key", operatorKey)

			return code == exitOK && strings.Contains(out, `"ConfigurationVersion": 1`)
		})
	}
}

func sheets(items int) []byte {
	out := bytes.Buffer{}
	for n := range items {
		fmt.Fprintf(&out, `{"custom_id":"sheet-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"drafting",`+
			`"messages":[{"role":"user","content":"Mould sheet %d"}],"max_tokens":32}}`+"\n", n, n)
	}

	return out.Bytes()
}

// Guards against an accepted batch that loses or repeats items when the instance that accepted it is killed right after
// its answer, while another instance that holds claims is paused until they expire and then resumes.
func TestProcessesKilledAndPaused(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	p := startFleet(t)
	path := p.write("sheets.jsonl", sheets(processItems))
	out, code := p.run("batch", "submit", "--url", p.caller["entry-3"], "--key", workspaceKey, "--json", path)
	is.Equal(code, exitOK)
	p.signal("entry-3", syscall.SIGKILL)
	batch := openai.Batch{}
	is.NoErr(json.Unmarshal([]byte(out), &batch))
	time.Sleep(200 * time.Millisecond)
	p.signal("entry-2", syscall.SIGSTOP)
	target := []string{"--url", p.caller["entry-1"], "--key", workspaceKey}
	p.await("the end of the batch", func() bool {
		out, _ = p.run(append([]string{"batch", "status", "--json", batch.ID}, target...)...)

		return json.Unmarshal([]byte(out), &batch) == nil && batch.Status == "completed"
	})
	p.signal("entry-2", syscall.SIGCONT)
	time.Sleep(time.Second)
	is.Equal(batch.RequestCounts.Completed, processItems)
	out, code = p.run(append([]string{"batch", "results", batch.ID}, target...)...)
	is.Equal(code, exitOK)
	seen := map[string]int{}
	for _, line := range strings.Split(strings.TrimSpace(out), "\n") {
		r := job.ItemResult{}
		is.NoErr(json.Unmarshal([]byte(line), &r))
		is.True(r.Response != nil)
		seen[r.CustomID]++
	}
	is.Equal(len(seen), processItems) // no item is lost
	for id, n := range seen {
		if n != 1 {
			t.Errorf("%s has %d results", id, n)
		}
	}
}

// Guards against outcomes of client commands that scripts cannot distinguish by exit code, and against a graceful stop
// that fails or hangs.
func TestProcessesExitCodes(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	p := startFleet(t)
	operator := []string{"--url", p.admin["entry-2"], "--key", operatorKey}
	patch := p.write("patch.json", []byte(`{"Workspaces":{"garth-ddu":{"Weight":5}}}`))
	bad := p.write("bad.json", []byte(`{"OnlineRoutes":{"drafting":{"Deployment":"unknown"}}}`))
	config := func(command, base, file string) (string, int) {
		return p.run(append([]string{"config", command, "--base", base, "--file", file}, operator...)...)
	}
	_, code := config("patch", "1", patch)
	is.Equal(code, exitOK)
	out, code := config("patch", "1", patch)
	is.Equal(code, exitConflict)
	is.True(strings.Contains(out, "2")) // the refusal names the current version
	out, code = config("validate", "2", bad)
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "OnlineRoutes.drafting")) // the refusal names the invalid field
	_, code = p.run("config", "get", "--url", p.admin["entry-2"], "--key", "wrong")
	is.Equal(code, exitNotRun)
	_, code = p.run("serve", "--settings", p.write("bad.toml", []byte("[Instance]\nNom = 1\n")))
	is.Equal(code, exitUsage)
	broken := p.write("broken.jsonl", append(sheets(2), []byte("{broken\n")...))
	out, code = p.run("batch", "submit", "--url", p.caller["entry-1"], "--key", workspaceKey, broken)
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "line 3"))
	for name := range p.caller {
		p.signal(name, syscall.SIGTERM)
	}
	for name := range p.caller {
		is.NoErr(p.running[name].Wait()) // a graceful stop exits with 0
		delete(p.running, name)
	}
}

func TestExampleConfigurationDecodes(t *testing.T) {
	is := is.New(t)
	text, err := examples.Files.ReadFile("configuration.json")
	is.NoErr(err)
	_, err = configuration.ApplyPatch(nil, configuration.Patch{
		Patch: text,
	})
	is.NoErr(err)
}
