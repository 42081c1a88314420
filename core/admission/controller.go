package admission

import (
	"math"
	"slices"
	"time"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
)

const (
	// peerCountLife is the age at which a peer's count is dropped. Counts are exchanged each second, so several exchanges may
	// be lost before that.
	peerCountLife = 10 * time.Second
	retryAfter    = time.Second
)

type entry struct {
	server     string
	deployment string
	long       bool
}

type peerCount struct {
	inFlight int
	at       time.Time
}

// Controller holds the in-flight tables and the queue of online requests; it is not safe for concurrent use.
type Controller struct {
	online      map[uint64]entry
	onlineCount map[string]int
	longCount   map[string]int
	// batch holds streams per backend server, oldest first.
	batch map[string][]uint64
	peers map[string]map[string]peerCount
	queue *queue
}

// New returns an empty controller whose queue holds at most queueRequests requests and queueBytes bytes of their bodies.
func New(queueRequests, queueBytes int) *Controller {
	return &Controller{
		online:      map[uint64]entry{},
		onlineCount: map[string]int{},
		longCount:   map[string]int{},
		batch:       map[string][]uint64{},
		peers:       map[string]map[string]peerCount{},
		queue:       newQueue(queueRequests, queueBytes),
	}
}

// Admit starts an online request on the server that pick returns, or queues it (empty name), or refuses it as overloaded.
func (c *Controller) Admit(
	id uint64,
	r *inference.Request,
	conf *configuration.Configuration,
	pick func(*inference.Request) (string, bool),
	at time.Time,
) (string, error) {
	// A request does not overtake those that already wait for its deployment.
	if !c.queue.hasWaiting(r.Deployment) {
		if name, ok := pick(r); ok {
			c.Start(id, r, name)

			return name, nil
		}
	}
	if !c.queue.push(id, r, weight(conf, r.Workspace)) {
		err := fault.New(fault.CodeOverloaded, "all backend servers are busy and the queue is full")
		err.RetryAt = at.Add(retryAfter)

		return "", err
	}

	return "", nil
}

// Next starts the queued request of the deployment that is next by fair share; false if there is none or pick finds no
// server for it.
func (c *Controller) Next(
	deployment string,
	conf *configuration.Configuration,
	pick func(id uint64, r *inference.Request) (string, bool),
) (id uint64, name string, ok bool) {
	it := c.queue.due(deployment, c.longCount[deployment] < longLimit(conf, deployment))
	if it == nil {
		return 0, "", false
	}
	name, ok = pick(it.id, it.request)
	if !ok {
		return 0, "", false
	}
	c.queue.serve(it)
	c.Start(it.id, it.request, name)

	return it.id, name, true
}

// Waiting returns the deployments that have queued requests.
func (c *Controller) Waiting() []string {
	return c.queue.deployments()
}

// Queued returns the number of queued requests.
func (c *Controller) Queued() int {
	return len(c.queue.items)
}

// RemoveQueued removes a queued request; false if it is not queued.
func (c *Controller) RemoveQueued(id uint64) bool {
	return c.queue.remove(id)
}

// Start counts an online stream on a backend server. The second stream of a hedged request is counted as well.
func (c *Controller) Start(id uint64, r *inference.Request, name string) {
	e := entry{
		server:     name,
		deployment: r.Deployment,
		long:       Long(r),
	}
	c.online[id] = e
	c.onlineCount[name]++
	if e.long {
		c.longCount[e.deployment]++
	}
}

// End removes an online stream from the tables.
func (c *Controller) End(id uint64) {
	e, ok := c.online[id]
	if !ok {
		return
	}
	delete(c.online, id)
	decrement(c.onlineCount, e.server)
	if e.long {
		decrement(c.longCount, e.deployment)
	}
}

// StartBatch counts a batch stream if the backend server has a batch slot, and reports whether it had one.
func (c *Controller) StartBatch(id uint64, name string, maxBatch int, at time.Time) bool {
	if c.BatchFree(name, maxBatch, at) < 1 {
		return false
	}
	c.batch[name] = append(c.batch[name], id)

	return true
}

// EndBatch removes a batch stream from the tables.
func (c *Controller) EndBatch(id uint64, name string) {
	left := slices.DeleteFunc(c.batch[name], func(b uint64) bool { return b == id })
	if len(left) == 0 {
		delete(c.batch, name)
	} else {
		c.batch[name] = left
	}
}

// BatchFree returns how many more batch streams this instance may start on a backend server that it owns for batch work;
// maxBatch is the result of MaxBatch for the server.
func (c *Controller) BatchFree(name string, maxBatch int, at time.Time) int {
	return max(0, c.batchLimit(name, maxBatch, at)-len(c.batch[name]))
}

// Preempt removes and returns the batch streams above the limit of a backend server, newest first.
func (c *Controller) Preempt(name string, maxBatch int, at time.Time) []uint64 {
	b := c.batch[name]
	limit := c.batchLimit(name, maxBatch, at)
	if len(b) <= limit {
		return nil
	}
	over := slices.Clone(b[limit:])
	slices.Reverse(over)
	if limit == 0 {
		delete(c.batch, name)
	} else {
		c.batch[name] = b[:limit]
	}

	return over
}

// ObservePeer records another instance's online requests in flight on a backend server.
func (c *Controller) ObservePeer(sender, name string, inFlight int, at time.Time) {
	if inFlight == 0 {
		delete(c.peers[name], sender)

		return
	}
	if c.peers[name] == nil {
		c.peers[name] = map[string]peerCount{}
	}
	c.peers[name][sender] = peerCount{
		inFlight: inFlight,
		at:       at,
	}
}

// Online returns this instance's online requests in flight on a backend server.
func (c *Controller) Online(name string) int {
	return c.onlineCount[name]
}

// OnlineAll returns the online requests in flight on a backend server, with those that peers have reported.
func (c *Controller) OnlineAll(name string, at time.Time) int {
	n := c.onlineCount[name]
	for sender, p := range c.peers[name] {
		if at.Sub(p.at) > peerCountLife {
			delete(c.peers[name], sender)

			continue
		}
		n += p.inFlight
	}

	return n
}

// Batch returns this instance's batch streams on a backend server.
func (c *Controller) Batch(name string) int {
	return len(c.batch[name])
}

// DefaultHeadroomRatio is the share of the slots that batch work leaves free in deployments that set none.
const DefaultHeadroomRatio = 0.125

// MaxBatch returns the slots of a backend server that batch work may use while no online request runs there: all but the
// headroom, which is a ratio of the slots and at least one. With one slot there is no headroom, since the backend server
// would never run batch work; an online request preempts it there.
func MaxBatch(slots int, headroomRatio float64) int {
	if slots <= 1 {
		return slots
	}
	if headroomRatio <= 0 {
		headroomRatio = DefaultHeadroomRatio
	}
	// A ratio that does not divide the slots is rounded to the nearest slot.
	headroom := int(math.Round(float64(slots) * headroomRatio))

	return max(0, slots-max(1, headroom))
}

func (c *Controller) batchLimit(name string, maxBatch int, at time.Time) int {
	return max(0, maxBatch-c.OnlineAll(name, at))
}

func decrement(m map[string]int, key string) {
	m[key]--
	if m[key] <= 0 {
		delete(m, key)
	}
}

func weight(conf *configuration.Configuration, workspace string) int {
	return max(1, conf.Workspaces[workspace].Weight)
}

// longLimit returns how many long requests of a deployment may run while short ones wait: half of the deployment's slots,
// at least one.
func longLimit(conf *configuration.Configuration, deployment string) int {
	n := 0
	for _, b := range conf.BackendServers {
		if b.Deployment == deployment {
			n += max(1, b.Slots)
		}
	}

	return max(1, n/2)
}
