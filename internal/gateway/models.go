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

// modelBody has the fields that chat and text completions share. Other fields
// of the widely used completion API are accepted and ignored.
type modelBody struct {
	_         struct{} `json:"-" additionalProperties:"true"`
	Model     string   `json:"model" minLength:"1" maxLength:"200"`
	MaxTokens int      `json:"max_tokens,omitempty" minimum:"0" maximum:"32768"`
	Stream    bool     `json:"stream,omitempty"`
	User      string   `json:"user,omitempty" maxLength:"200" doc:"Names the conversation, so that its cache is found again."`
	Seed      uint64   `json:"seed,omitempty"`
}

// ChatBody is the request body of a chat completion.
type ChatBody struct {
	modelBody
	Messages []Message `json:"messages" minItems:"1"`
}

// CompletionBody is the request body of a text completion.
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
		return g.callModel(ctx, in.CallHeaders, in.Body.modelBody, prompt.String(), in.Body.Messages[0].Content, true)
	})
	huma.Register(api, op("completions", "/v1/completions"), func(ctx context.Context, in *completionInput) (*huma.StreamResponse, error) {
		sessionText := in.Body.Prompt[:min(len(in.Body.Prompt), prefix.BlockBytes)]
		return g.callModel(ctx, in.CallHeaders, in.Body.modelBody, in.Body.Prompt, sessionText, false)
	})
}

// callModel submits a model call and returns its response. sessionText is the
// part of the prompt that stays the same throughout a conversation: its hash
// identifies the conversation of clients that do not set the user field.
func (g *Gateway) callModel(ctx context.Context, h CallHeaders, b modelBody, prompt, sessionText string, chat bool) (*huma.StreamResponse, error) {
	req, acc, _, err := g.newRequest(h, "model/"+b.Model)
	if err != nil {
		return nil, g.newProblem(err)
	}
	req.Kind, req.Target, req.Body, req.Chat = record.KindModel, b.Model, []byte(prompt), chat
	req.Repeatable = true // model calls have no side effects
	req.MaxTokens = b.MaxTokens
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	req.Seed = b.Seed
	req.Digest = relay.Digest([]byte(b.Model), req.Body, strconv.AppendInt(nil, int64(req.MaxTokens), 10))
	if req.Seed == 0 {
		req.Seed = req.Digest // a stream that moves to another endpoint must go on with the same tokens
	}
	req.Session = acc.Name + "/" + b.User
	if b.User == "" {
		req.Session = acc.Name + "/" + strconv.FormatUint(relay.Digest([]byte(sessionText)), 36)
	}
	release, err := g.submit(ctx, req, acc, prefix.Tokens(prompt)+req.MaxTokens)
	if err != nil {
		return nil, g.newProblem(err)
	}
	r := response{g: g, id: req.ID, account: acc.Name, model: b.Model, chat: chat, stream: b.Stream}
	return &huma.StreamResponse{Body: func(hc huma.Context) {
		defer release()
		r.write(hc, 0)
	}}, nil
}

// response writes the response of a model call, or of a service call when model
// is empty.
type response struct {
	g       *Gateway
	id      string
	account string // client account that must own the request
	model   string
	chat    bool
	stream  bool // server-sent events instead of one body
}

// write writes the response from token number from on.
func (r *response) write(hc huma.Context, from int) {
	hc.SetHeader("Request-Id", r.id)
	if r.stream {
		r.writeStream(hc, from)
		return
	}
	r.writeComplete(hc, from)
}

// checkAccount reports a request of another client account as not found.
func (r *response) checkAccount(c relay.Chunk) error {
	if c.Head != nil && c.Head.Account != r.account {
		return fault.New(fault.StepAuth, "", fault.KindNotFound, fault.MayHaveRun, "no such request")
	}
	return nil
}

// writeComplete waits for the end of the response and writes it as one body.
func (r *response) writeComplete(hc huma.Context, from int) {
	var text strings.Builder
	tokens := 0
	var result *record.Result
	err := r.g.Relay.Follow(hc.Context(), r.id, from, func(c relay.Chunk) error {
		if err := r.checkAccount(c); err != nil {
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
		writeProblem(hc, r.g.newProblem(err))
		return
	}
	if r.model == "" {
		hc.SetHeader("Content-Type", result.ContentType)
		hc.SetStatus(result.Status)
		_, _ = hc.BodyWriter().Write(result.Body)
		return
	}
	hc.SetHeader("Content-Type", "application/json")
	hc.SetStatus(http.StatusOK)
	_ = json.NewEncoder(hc.BodyWriter()).Encode(r.completion(text.String(), tokens))
}

func writeProblem(hc huma.Context, p *Problem) {
	hc.SetHeader("Content-Type", "application/problem+json")
	for k, v := range p.GetHeaders() {
		hc.SetHeader(k, v[0])
	}
	hc.SetStatus(p.Status)
	_ = json.NewEncoder(hc.BodyWriter()).Encode(p)
}

// Completion is a complete response of a model call or one event of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the generated text in a Completion, which always has one choice.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the text that one event of a stream adds to a chat message.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Usage is the number of tokens in a complete response.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

const roleAssistant = "assistant"

func (r *response) completion(text string, tokens int) Completion {
	stop := "stop"
	c := Completion{ID: r.id, Object: "text_completion", Created: time.Now().Unix(), Model: r.model, Usage: &Usage{tokens}}
	choice := Choice{FinishReason: &stop, Text: text}
	if r.chat {
		c.Object = "chat.completion"
		choice.Text, choice.Message = "", &Message{Role: roleAssistant, Content: text}
	}
	c.Choices = []Choice{choice}
	return c
}

func (r *response) completionChunk(text string) Completion {
	c := Completion{ID: r.id, Object: "text_completion", Created: time.Now().Unix(), Model: r.model}
	choice := Choice{Text: text}
	if r.chat {
		c.Object = "chat.completion.chunk"
		choice.Text, choice.Delta = "", &Delta{text}
	}
	c.Choices = []Choice{choice}
	return c
}

// writeStream writes the response as server-sent events, one per token. The id
// of an event is the number of tokens up to and including it: a client whose
// connection breaks resumes from there.
func (r *response) writeStream(hc huma.Context, from int) {
	hc.SetHeader("Content-Type", "text/event-stream")
	hc.SetHeader("Cache-Control", "no-store")
	hc.SetStatus(http.StatusOK)
	w := hc.BodyWriter()
	flush := func() {
		if rw, ok := w.(http.ResponseWriter); ok {
			_ = http.NewResponseController(rw).Flush()
		}
	}
	flush() // send the Request-Id before the first token
	pos := from
	err := r.g.Relay.Follow(hc.Context(), r.id, from, func(c relay.Chunk) error {
		if err := r.checkAccount(c); err != nil {
			return err
		}
		for _, t := range c.Tokens {
			pos++
			if err := writeEvent(w, strconv.Itoa(pos), r.completionChunk(t)); err != nil {
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
		return // the client has disconnected
	case err != nil:
		_ = writeEvent(w, "", struct {
			Error *Problem `json:"error"`
		}{r.g.newProblem(err)})
	default:
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
	flush()
}

// writeEvent writes v as the JSON data of a server-sent event, without an id
// line if id is empty.
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
