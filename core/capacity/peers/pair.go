package peers

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"tarragonwalk/core/capacity/fixture"
	"tarragonwalk/core/capacity/wire"
	"tarragonwalk/core/configuration"
	"tarragonwalk/core/dispatch"
	"tarragonwalk/core/exchange"
	"tarragonwalk/core/membership"
	"tarragonwalk/io/peer"
)

const secret = "example-secret-of-the-fleet"

// clock is the real time plus an adjustable offset, so that many rounds fit into a short time.
type clock struct {
	offset atomic.Int64
}

func (c *clock) now() time.Time {
	return time.Now().Add(time.Duration(c.offset.Load()))
}

func (c *clock) add(d time.Duration) {
	c.offset.Add(int64(d))
}

// runner ignores the open jobs and cancellations that peers report.
type runner struct{}

func (runner) ConfirmOpen(int64, time.Time) {}

func (runner) CancelJobs([]string) {}

// pair is an initiating instance and an answering one. The answering instance represents all others and has a listener
// for each of them.
type pair struct {
	clock     *clock
	counter   *wire.Counter
	initiator *exchange.Exchanger
	nodes     []*peer.Node
	listeners []net.Listener
	serving   conc.WaitGroup
	release   func()
}

// newPair returns a pair that represents the given number of live instances. The initiator has an online request in
// flight on each backend server. The answering instance owns all backend servers for batch work, since it is the only one
// in their region.
func newPair(live, workers int) (*pair, error) {
	p := &pair{
		clock:   &clock{},
		counter: wire.New(),
	}
	self := fixture.Entry(0, fixture.Entries(1)[0].PeerAddress)
	self.Zone, self.Region = "menai-a", "cymru-north"
	table := membership.New()
	members := []membership.Instance{self}
	conf := fixture.Configuration(1, workers, 1)
	answering := fixture.Entry(1, self.PeerAddress)
	answerer := p.exchanger(answering.Name, table, conf, fixture.Dispatcher(fixture.NewEngine(false), conf, table, answering))
	node := peer.New(answering.Name, []byte(secret), p.clock.now, answerer)
	p.nodes = append(p.nodes, node)
	for n := 1; n < live; n++ {
		l, address, err := p.counter.Listen()
		if err != nil {
			p.close()

			return nil, err
		}
		p.listeners = append(p.listeners, l)
		p.serving.Go(func() { _ = node.Serve(l) })
		members = append(members, fixture.Entry(n, address))
	}
	table.Observe(members, time.Now())
	engine := fixture.NewEngine(true)
	dispatcher := fixture.Dispatcher(engine, conf, table, self)
	var err error
	if p.release, err = fixture.Hold(dispatcher, engine, workers); err != nil {
		p.close()

		return nil, err
	}
	p.initiator = p.exchanger(self.Name, table, conf, dispatcher)
	own := peer.New(self.Name, []byte(secret), p.clock.now, p.initiator)
	p.nodes = append(p.nodes, own)
	p.initiator.Attach(own)

	return p, nil
}

func (p *pair) exchanger(
	name string, t *membership.Table, c *configuration.Configuration, d *dispatch.Dispatcher,
) *exchange.Exchanger {
	holder := configuration.NewHolder()
	holder.Apply(c)

	return exchange.New(name, p.clock.now, t, holder, runner{}, d, slog.New(slog.DiscardHandler))
}

// cancelled makes the initiator report the cancellation of n jobs.
func (p *pair) cancelled(n int) {
	for i := range n {
		p.initiator.ReportCancelled(fixture.Hash(fmt.Sprint("job ", i)))
	}
}

// rounds runs n exchange rounds of the initiator, one second apart on the pair's clock.
func (p *pair) rounds(n int) {
	for range n {
		p.initiator.Announce(context.Background())
		p.clock.add(time.Second)
	}
}

func (p *pair) close() {
	if p.release != nil {
		p.release()
	}
	for _, l := range p.listeners {
		l.Close()
	}
	// The initiator's connections are closed first, so that the answering side detects their end.
	for n := len(p.nodes) - 1; n >= 0; n-- {
		p.nodes[n].Close()
	}
	p.serving.Wait()
}
