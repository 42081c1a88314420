package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/sourcegraph/conc/pool"

	"tarragonwalk/io/apiclient"
	"tarragonwalk/io/openai"
	"tarragonwalk/io/standin/engine"
)

// longTokens makes a stream last longer than the grace period of a stop.
const longTokens = 600

func (d *Demo) stopGracefully(ctx context.Context) (string, error) {
	request := openai.ChatRequest{
		Model: "drafting",
		Messages: []openai.Message{
			{
				Role:    "user",
				Content: "Write the catalogue text for the whole Jurassic room.",
			},
		},
		Stream:    true,
		MaxTokens: longTokens,
	}
	body, err := json.Marshal(request)
	if err != nil {
		return "", failure("cannot encode the request: %v", err)
	}
	client := d.fleet.Caller("entry-2", garthDduKey)
	text := strings.Builder{}
	started := make(chan struct{})
	p := pool.New().WithErrors()
	p.Go(func() error { return streamWhole(client, body, &text, started) })
	<-started
	if err := d.fleet.Stop(ctx, "entry-2"); err != nil {
		return "", err
	}
	if err := p.Wait(); err != nil {
		return "", err
	}
	want, tokens, _ := engine.Answer(&request)
	if text.String() != want {
		return "", failure("the stream lost or repeated tokens")
	}

	return fmt.Sprintf("a stream of %d tokens completed after the stop had started", tokens), nil
}

func streamWhole(c *apiclient.Client, body []byte, text *strings.Builder, started chan struct{}) error {
	first := true
	_, err := c.Stream(body, "demo-stop", 0, func(_ int, token string) error {
		text.WriteString(token)
		if first {
			close(started)
			first = false
		}

		return nil
	})
	if first {
		close(started)
	}

	return err
}
