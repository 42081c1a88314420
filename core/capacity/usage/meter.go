package usage

import (
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"
)

// Meter measures this process; nothing else may run in it meanwhile.
type Meter struct {
	rounds int
}

// New returns a meter that repeats each measurement of processor time and reports the minimum, since other processes on
// the machine can only increase it.
func New(rounds int) *Meter {
	return &Meter{
		rounds: rounds,
	}
}

// Processor returns the processor time of one call of f in seconds, including garbage collections during the call.
func (m *Meter) Processor(f func() error) (float64, error) {
	least := 0.0
	for round := range m.rounds {
		runtime.GC()
		before := Seconds()
		if err := f(); err != nil {
			return 0, err
		}
		if spent := Seconds() - before; round == 0 || spent < least {
			least = spent
		}
	}

	return least, nil
}

// Allocations returns the number of objects that one call of f allocates, in all goroutines.
func (m *Meter) Allocations(f func() error) (float64, error) {
	before := read("/gc/heap/allocs:objects")
	err := f()

	return read("/gc/heap/allocs:objects") - before, err
}

// Memory returns the bytes of live objects and goroutine stacks after a collection.
func (m *Meter) Memory() float64 {
	// Objects with finalizers and in pools are freed only by the second collection.
	runtime.GC()
	runtime.GC()

	return read("/memory/classes/heap/objects:bytes") + read("/memory/classes/heap/stacks:bytes")
}

// Seconds returns the user and system time of this process.
func Seconds() float64 {
	u := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}

	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

func read(name string) float64 {
	s := []metrics.Sample{{
		Name: name,
	}}
	metrics.Read(s)

	return float64(s[0].Value.Uint64())
}
