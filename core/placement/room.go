package placement

import (
	"time"

	"tarragonwalk/core/batchroom"
)

// BatchRoom returns what Batch would find, and reserves nothing.
func (p *Placer) BatchRoom(service string, urgent, late bool, at time.Time) batchroom.Room {
	p.lock.Lock()
	defer p.lock.Unlock()
	usable := p.roster.UsableForItems(service, at)
	room := batchroom.Room{
		Usable:   len(usable),
		CountsAt: p.loads.OldestReport(at),
	}
	for _, s := range usable {
		online, batch := p.loads.InFlight(s.ID, at)
		free, yields := batchRules(s, online, batch, urgent, late)
		if !free {
			continue
		}
		room.Free++
		if yields {
			room.Yielded++
		}
		if p.members.MayStartBatch(s.ID, s.Zone, yields, at) {
			room.InTurn++
		}
	}

	return room
}
