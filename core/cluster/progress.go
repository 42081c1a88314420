package cluster

import (
	"time"

	"tarragonwalk/core/gossip"
)

// Progress returns the progress of batch routes summed over all other instances. Complete says that the sum is of all of them and no
// part is older than gossip.ReportLife; else it must not be relied on. A report on a zone that has not expired replaces the values of
// its instances.
func (c *Cluster) Progress(at time.Time) (sum map[string]gossip.BatchProgress, complete bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	sum, complete = map[string]gossip.BatchProgress{}, !c.isolated()
	for _, z := range c.zoneReports {
		if at.Sub(z.madeAt) <= gossip.ReportLife {
			gossip.AddProgress(sum, z.progress)
		}
	}
	for _, p := range c.peers {
		if p.gone || at.Sub(c.zoneReports[p.heartbeat.Sender.Zone].madeAt) <= gossip.ReportLife {
			continue
		}
		gossip.AddProgress(sum, p.heartbeat.Progress)
		// An instance that was leaving has given its jobs up and is expected to become silent.
		if at.Sub(p.updatedAt) > gossip.ReportLife && !p.heartbeat.Sender.Leaving {
			complete = false
		}
	}

	return sum, complete
}
