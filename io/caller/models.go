package caller

import (
	"github.com/gofiber/fiber/v2"

	"tarragonwalk/io/openai"
)

func (s *Server) models(c *fiber.Ctx) error {
	out := openai.ModelList{
		Object: "list",
		Data:   []openai.Model{},
	}
	for _, n := range s.access.Routes(workspace(c)) {
		if _, err := s.modelRoute(workspace(c), n); err != nil {
			continue
		}
		out.Data = append(out.Data, openai.Model{
			ID:      n,
			Object:  "model",
			OwnedBy: "tarragonwalk",
		})
	}

	return c.JSON(out)
}
