package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/prefix"
	"github.com/shelfcrank/shelfcrank/internal/record"
	"github.com/shelfcrank/shelfcrank/internal/relay"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role" maxLength:"40"`
	Content string `json:"content"`
}

// modelBody has the fields that both kinds of model call share. Fields of the
// widely used shape that are not listed are accepted and ignored.
type modelBody struct {
	_         struct{} `json:"-" additionalProperties:"true"`
	Model     string   `json:"model" minLength:"1" maxLength:"200"`
	MaxTokens int      `json:"max_tokens,omitempty" minimum:"0" maximum:"32768"`
	Stream    bool     `json:"stream,omitempty"`
	User      string   `json:"user,omitempty" maxLength:"200" doc:"Names the conversation, so that its cache is found again."`
	Seed      uint64   `json:"seed,omitempty"`
}

// ChatBody is the body of a chat completion.
type ChatBody struct {
	modelBody
	Messages []Message `json:"messages" minItems:"1"`
}

// CompletionBody is the body of a completion.
type CompletionBody struct {
	modelBody
	Prompt string `json:"prompt" minLength:"1"`
}

type chatInput struct {
	CallHeaders
	Body ChatBody
}

type completionInput struct {
	CallHeaders
	Body CompletionBody
}

const defaultMaxTokens = 256

func (g *Gateway) registerModels(api huma.API) {
	op := func(id, path string) huma.Operation {
		return huma.Operation{OperationID: id, Method: http.MethodPost, Path: path, MaxBodyBytes: maxModelBody, BodyReadTimeout: bodyTimeout, Tags: []string{"models"}}
	}
	huma.Register(api, op("chat-completions", "/v1/chat/completions"), func(ctx context.Context, in *chatInput) (*huma.StreamResponse, error) {
		var prompt strings.Builder
		for _, m := range in.Body.Messages {
			fmt.Fprintf(&prompt, "%s: %s\n", m.Role, m.Content)
		}
		return g.model(ctx, in.CallHeaders, in.Body.modelBody, prompt.String(), in.Body.Messages[0].Content, true)
	})
	huma.Register(api, op("completions", "/v1/completions"), func(ctx context.Context, in *completionInput) (*huma.StreamResponse, error) {
		first := in.Body.Prompt[:min(len(in.Body.Prompt), prefix.BlockBytes)]
		return g.model(ctx, in.CallHeaders, in.Body.modelBody, in.Body.Prompt, first, false)
	})
}

// model takes a model call. first is what stays the same through a
// conversation, for callers that do not name it.
func (g *Gateway) model(ctx context.Context, h CallHeaders, b modelBody, prompt, first string, chat bool) (*huma.StreamResponse, error) {
	req, acc, _, err := g.begin(h, "model/"+b.Model)
	if err != nil {
		return nil, g.problemOf(err)
	}
	req.Kind, req.Target, req.Body, req.Chat = record.KindModel, b.Model, []byte(prompt), chat
	req.Repeatable = true // a model call has no effect but its answer
	req.MaxTokens = b.MaxTokens
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	req.Seed = b.Seed
	req.Digest = relay.Digest([]byte(b.Model), req.Body, strconv.AppendInt(nil, int64(req.MaxTokens), 10))
	if req.Seed == 0 {
		req.Seed = req.Digest // the answer is the same wherever it goes on
	}
	req.Session = acc.Name + "/" + b.User
	if b.User == "" {
		req.Session = acc.Name + "/" + strconv.FormatUint(relay.Digest([]byte(first)), 36)
	}
	end, err := g.submit(ctx, req, acc, prefix.Tokens(prompt)+req.MaxTokens)
	if err != nil {
		return nil, g.problemOf(err)
	}
	a := answer{g: g, id: req.ID, account: acc.Name, model: b.Model, chat: chat, stream: b.Stream}
	return &huma.StreamResponse{Body: func(hc huma.Context) {
		defer end()
		a.write(hc, 0)
	}}, nil
}

// answer writes the answer of a model call, or of a service call when model is
// empty.
type answer struct {
	g       *Gateway
	id      string
	account string
	model   string
	chat    bool
	stream  bool
}

// write follows the answer from a position and writes it as it comes.
func (a *answer) write(hc huma.Context, from int) {
	hc.SetHeader("Request-Id", a.id)
	if a.stream {
		a.writeStream(hc, from)
		return
	}
	a.writeWhole(hc, from)
}

func (a *answer) check(c relay.Chunk) error {
	if c.Head != nil && c.Head.Account != a.account {
		return fault.New(fault.StepAuth, "", fault.KindNotFound, fault.MayHaveRun, "no such request")
	}
	return nil
}

func (a *answer) writeWhole(hc huma.Context, from int) {
	var text strings.Builder
	tokens := 0
	var result *record.Result
	err := a.g.Relay.Follow(hc.Context(), a.id, from, func(c relay.Chunk) error {
		if err := a.check(c); err != nil {
			return err
		}
		for _, t := range c.Tokens {
			text.WriteString(t)
		}
		tokens += len(c.Tokens)
		result = c.Result
		return nil
	})
	if err == nil && result != nil && result.Failure != nil {
		err = result.Failure
	}
	if err != nil {
		writeProblem(hc, a.g.problemOf(err))
		return
	}
	if a.model == "" {
		hc.SetHeader("Content-Type", result.ContentType)
		hc.SetStatus(result.Status)
		_, _ = hc.BodyWriter().Write(result.Body)
		return
	}
	hc.SetHeader("Content-Type", "application/json")
	hc.SetStatus(http.StatusOK)
	_ = json.NewEncoder(hc.BodyWriter()).Encode(a.completion(text.String(), tokens))
}

func writeProblem(hc huma.Context, p *Problem) {
	hc.SetHeader("Content-Type", "application/problem+json")
	for k, v := range p.GetHeaders() {
		hc.SetHeader(k, v[0])
	}
	hc.SetStatus(p.Status)
	_ = json.NewEncoder(hc.BodyWriter()).Encode(p)
}

// Completion is a whole answer or one part of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the one answer in a Completion.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is a part of a chat message.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

const roleAssistant = "assistant"

func (a *answer) completion(text string, tokens int) Completion {
	stop := "stop"
	c := Completion{ID: a.id, Object: "text_completion", Created: time.Now().Unix(), Model: a.model, Usage: &Usage{tokens}}
	choice := Choice{FinishReason: &stop, Text: text}
	if a.chat {
		c.Object = "chat.completion"
		choice.Text, choice.Message = "", &Message{Role: roleAssistant, Content: text}
	}
	c.Choices = []Choice{choice}
	return c
}

func (a *answer) part(text string) Completion {
	c := Completion{ID: a.id, Object: "text_completion", Created: time.Now().Unix(), Model: a.model}
	choice := Choice{Text: text}
	if a.chat {
		c.Object = "chat.completion.chunk"
		choice.Text, choice.Delta = "", &Delta{text}
	}
	c.Choices = []Choice{choice}
	return c
}

// writeStream writes server-sent events. The id of each event is the position
// after it: a caller whose connection breaks resumes from there.
func (a *answer) writeStream(hc huma.Context, from int) {
	hc.SetHeader("Content-Type", "text/event-stream")
	hc.SetHeader("Cache-Control", "no-store")
	hc.SetStatus(http.StatusOK)
	w := hc.BodyWriter()
	flush := func() {
		if rw, ok := w.(http.ResponseWriter); ok {
			_ = http.NewResponseController(rw).Flush()
		}
	}
	flush() // the caller learns the Request-Id as soon as it is accepted
	pos := from
	err := a.g.Relay.Follow(hc.Context(), a.id, from, func(c relay.Chunk) error {
		if err := a.check(c); err != nil {
			return err
		}
		for _, t := range c.Tokens {
			pos++
			if err := writeEvent(w, strconv.Itoa(pos), a.part(t)); err != nil {
				return err
			}
		}
		if c.Result != nil && c.Result.Failure != nil {
			return c.Result.Failure
		}
		flush()
		return nil
	})
	switch {
	case hc.Context().Err() != nil:
		return // the caller is gone
	case err != nil:
		_ = writeEvent(w, "", struct {
			Error *Problem `json:"error"`
		}{a.g.problemOf(err)})
	default:
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
	flush()
}

func writeEvent(w interface{ Write([]byte) (int, error) }, id string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if id != "" {
		id = "id: " + id + "\n"
	}
	_, err = fmt.Fprintf(w, "%sdata: %s\n\n", id, b)
	return err
}
