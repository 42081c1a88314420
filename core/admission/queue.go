package admission

import (
	"slices"

	"tarragonwalk/core/inference"
)

const (
	defaultTokens = 512
	// promptBytesPerToken is how many bytes of a prompt cost as much as one generated token: reading a token costs an engine
	// about a tenth of generating one, and a token has about 4 bytes.
	promptBytesPerToken = 40
	longTokens          = 2048
)

// Size estimates the work of a request in generated tokens.
func Size(r *inference.Request) int {
	tokens := r.MaxTokens
	if tokens == 0 {
		tokens = defaultTokens
	}

	return max(1, tokens-r.Offset+r.PromptBytes/promptBytesPerToken)
}

// Long reports whether the estimated work of a request is more than 2048 generated tokens.
func Long(r *inference.Request) bool {
	return Size(r) > longTokens
}

type item struct {
	id       uint64
	sequence uint64
	request  *inference.Request
	weight   int
	long     bool
}

type shareKey struct {
	deployment string
	workspace  string
}

// queue holds online requests that wait for a slot, and shares each deployment between its workspaces by weight: weighted
// fair queueing in virtual time.
type queue struct {
	maxRequests int
	maxBytes    int
	bytes       int
	sequence    uint64
	items       map[uint64]*item
	waiting     map[shareKey][]*item
	// virtualTime is the latest virtualStart of a request of each deployment that has left the queue for a slot.
	virtualTime map[string]float64
	// virtualStart is the virtual time at which each workspace's next request is due: it grows with the estimated work of each
	// request that starts, divided by the workspace's weight.
	virtualStart map[shareKey]float64
}

func newQueue(maxRequests, maxBytes int) *queue {
	return &queue{
		maxRequests:  maxRequests,
		maxBytes:     maxBytes,
		items:        map[uint64]*item{},
		waiting:      map[shareKey][]*item{},
		virtualTime:  map[string]float64{},
		virtualStart: map[shareKey]float64{},
	}
}

// push queues a request; false if the queue is full, or half full with requests of the same workspace and deployment, so
// that the others can still queue theirs.
func (q *queue) push(id uint64, r *inference.Request, weight int) bool {
	key := shareKeyOf(r)
	bytes := len(r.Body)
	for _, it := range q.waiting[key] {
		bytes += len(it.request.Body)
	}
	if len(q.items) >= q.maxRequests || q.bytes+len(r.Body) > q.maxBytes ||
		2*len(q.waiting[key]) >= q.maxRequests+1 || 2*bytes > q.maxBytes+len(r.Body) {
		return false
	}
	q.sequence++
	it := &item{
		id:       id,
		sequence: q.sequence,
		request:  r,
		weight:   weight,
		long:     Long(r),
	}
	if len(q.waiting[key]) == 0 {
		// A workspace gets no credit for the time in which it had no request in the queue.
		q.virtualStart[key] = max(q.virtualStart[key], q.virtualTime[r.Deployment])
	}
	q.items[id] = it
	q.waiting[key] = append(q.waiting[key], it)
	q.bytes += len(r.Body)

	return true
}

// due returns the request to start next. Unless longAllowed is set, a long request is not started while short ones of the
// deployment wait.
func (q *queue) due(deployment string, longAllowed bool) *item {
	short := false
	for key, items := range q.waiting {
		short = short || key.deployment == deployment && slices.ContainsFunc(items, isShort)
	}
	var best *item
	for key, items := range q.waiting {
		if key.deployment != deployment {
			continue
		}
		head := items[0]
		if short && !longAllowed && head.long {
			i := slices.IndexFunc(items, isShort)
			if i < 0 {
				continue
			}
			head = items[i]
		}
		if best == nil || q.before(head, best) {
			best = head
		}
	}

	return best
}

func (q *queue) before(a, b *item) bool {
	ua, ub := q.virtualStart[shareKeyOf(a.request)], q.virtualStart[shareKeyOf(b.request)]
	if ua != ub {
		return ua < ub
	}

	return a.sequence < b.sequence
}

func (q *queue) serve(it *item) {
	key := shareKeyOf(it.request)
	q.virtualTime[key.deployment] = max(q.virtualTime[key.deployment], q.virtualStart[key])
	q.virtualStart[key] += float64(Size(it.request)) / float64(it.weight)
	q.remove(it.id)
}

func (q *queue) remove(id uint64) bool {
	it, ok := q.items[id]
	if !ok {
		return false
	}
	delete(q.items, id)
	q.bytes -= len(it.request.Body)
	key := shareKeyOf(it.request)
	left := slices.DeleteFunc(q.waiting[key], func(o *item) bool { return o == it })
	if len(left) == 0 {
		delete(q.waiting, key)
	} else {
		q.waiting[key] = left
	}
	if !q.hasWaiting(key.deployment) {
		for k := range q.virtualStart {
			if k.deployment == key.deployment {
				delete(q.virtualStart, k)
			}
		}
		delete(q.virtualTime, key.deployment)
	}

	return true
}

func (q *queue) hasWaiting(deployment string) bool {
	for key := range q.waiting {
		if key.deployment == deployment {
			return true
		}
	}

	return false
}

func (q *queue) deployments() []string {
	var names []string
	for key := range q.waiting {
		if !slices.Contains(names, key.deployment) {
			names = append(names, key.deployment)
		}
	}

	return names
}

func isShort(it *item) bool {
	return !it.long
}

func shareKeyOf(r *inference.Request) shareKey {
	return shareKey{
		deployment: r.Deployment,
		workspace:  r.Workspace,
	}
}
