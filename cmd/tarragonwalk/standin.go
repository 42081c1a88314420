package main

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/membership"
	"tarragonwalk/io/standin/engine"
	"tarragonwalk/io/standin/instancelist"
	"tarragonwalk/io/standin/objectstore"
	"tarragonwalk/io/standin/service"
)

type standinCommand struct {
	Store     standinStoreCommand     `command:"store" description:"Object store with versions, conditional updates and watches"`
	Engine    standinEngineCommand    `command:"engine" description:"Model engine with continuous batching"`
	Service   standinServiceCommand   `command:"service" description:"Plain service"`
	Instances standinInstancesCommand `command:"instances" description:"List of live and leaving instances"`
}

type listenOption struct {
	Listen string `long:"listen" required:"yes" description:"Address to listen on, for example 127.0.0.1:9000"`
}

// server is the stand-in of an outside system.
type server interface {
	Serve(l net.Listener) error
	Close()
}

func (o *listenOption) serve(s server) error {
	address, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return fault.Wrap(err, fault.CodeInvalid, "--listen is not an IP address with a port")
	}
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return fault.Wrap(err, fault.CodeUnavailable, "cannot listen on "+o.Listen)
	}
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer release()
	go func() {
		<-ctx.Done()
		s.Close()
	}()

	return s.Serve(l)
}

type standinStoreCommand struct {
	listenOption
	Delay       time.Duration `long:"delay" description:"Delay of each answer"`
	LoseAnswers float64       `long:"lose-answers" description:"Probability that the answer to a write is lost"`
	Reads       int           `long:"reads" description:"Limit of reads a second, 0 for none"`
	Writes      int           `long:"writes" description:"Limit of writes a second, 0 for none"`
	Seed        uint64        `long:"seed" default:"1" description:"Seed of the faults"`
}

// Execute runs the stand-in of the object store.
func (c *standinStoreCommand) Execute([]string) error {
	s := objectstore.New(c.Seed)
	s.SetDelay(c.Delay)
	s.SetLoseAnswers(c.LoseAnswers)
	s.SetLimits(c.Reads, c.Writes)

	return c.serve(s)
}

type standinEngineCommand struct {
	listenOption
	Base      time.Duration `long:"base" default:"10ms" description:"Time of a step"`
	PerStream time.Duration `long:"per-stream" default:"1ms" description:"Time that each running stream adds to a step"`
	MaxBatch  int           `long:"max-batch" default:"16" description:"Streams that run at once"`
	Fencing   bool          `long:"fencing" description:"Refuse orders with an old fencing token"`
	LoadLag   time.Duration `long:"load-lag" default:"2s" description:"Age of load reports"`
	Slow      float64       `long:"slow" default:"1" description:"Factor on the time of a step"`
}

// Execute runs the stand-in of a model engine.
func (c *standinEngineCommand) Execute([]string) error {
	e := engine.New(engine.Steps(c.Base, c.PerStream, c.MaxBatch), engine.Fencing(c.Fencing), engine.LoadLag(c.LoadLag))
	e.Slow(c.Slow)

	return c.serve(e)
}

type standinServiceCommand struct {
	listenOption
	Delay time.Duration `long:"delay" description:"Delay of each answer"`
}

// Execute runs the stand-in of a plain service.
func (c *standinServiceCommand) Execute([]string) error {
	s := service.New()
	s.Delay(c.Delay)

	return c.serve(s)
}

type standinInstancesCommand struct {
	listenOption
	File string        `long:"file" required:"yes" description:"JSON file in the form of the instance list"`
	Lag  time.Duration `long:"lag" description:"Time until a change shows"`
}

// Execute runs the stand-in of the instance list.
func (c *standinInstancesCommand) Execute([]string) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return fault.Wrap(err, fault.CodeInvalid, "cannot read "+c.File)
	}
	list := membership.InstanceList{}
	if err := json.Unmarshal(text, &list); err != nil {
		return fault.Wrap(err, fault.CodeInvalid, c.File+" is not an instance list")
	}
	s := instancelist.New(c.Lag)
	for _, i := range list.Instances {
		s.Set(i)
	}

	return c.serve(s)
}
