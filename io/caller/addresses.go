package caller

import (
	"math/rand/v2"
	"slices"

	"github.com/gofiber/fiber/v2"

	"tarragonwalk/core/membership"
)

func (s *Server) addresses(c *fiber.Ctx) error {
	zone := c.Get("X-Zone", s.zone)
	list := s.members.Addresses(zone, s.clock())
	list.Addresses = spreadAddresses(list.Addresses)

	return c.JSON(list)
}

// spreadAddresses shuffles the instances of each availability zone and keeps the order of the zones. Callers use the first
// address for a while, so a fixed order would send all of them to one instance.
func spreadAddresses(list []membership.Address) []membership.Address {
	list = slices.Clone(list)
	for start := 0; start < len(list); {
		end := start + 1
		for end < len(list) && list[end].Zone == list[start].Zone {
			end++
		}
		group := list[start:end]
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
		start = end
	}

	return list
}
