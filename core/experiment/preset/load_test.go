package preset

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a preset whose fleet size or delays differ from section 1.4 of the design.
func TestLoad(t *testing.T) {
	for name, delay := range map[string]time.Duration{
		"garth-ddu": time.Millisecond,
		"kurekizin": 1500 * time.Microsecond,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, err := Load(name)
			is.NoErr(err)
			workers, services, instances := 0, 0, 0
			for _, z := range p.Zones {
				workers += z.Workers
				services += z.Services
				instances += z.Instances
			}
			is.Equal(workers, 12)
			is.Equal(services, 3)
			is.True(instances == 7 || instances == 8)
			is.Equal(p.Delay(p.Zones[0], p.Zones[1]), delay)
			is.Equal(p.Delay(p.Zones[0], p.Zones[2]), 12*time.Millisecond)
			is.Equal(p.LinkBytesPerSecond, 3_750_000) // 30 Mbit/s
		})
	}
	_, err := Load("none")
	is.New(t).True(err != nil)
}
