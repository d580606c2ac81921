package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the i-th token of the answer to a prompt. Answers are a function of the prompt, so
// that a client can check that it got the right answer in full.
func Token(promptHash uint64, i int) string {
	h := xxhash.Sum64String(strconv.FormatUint(promptHash, 36) + "/" + strconv.Itoa(i))
	return strconv.FormatUint(h%46656, 36) + " "
}

// PromptHash returns the hash of a prompt from which Token derives the answer.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// answerHash returns the hash from which Token derives the answer of an engine of a version.
func answerHash(version, prompt string) uint64 {
	if version == "" {
		return PromptHash(prompt)
	}
	return PromptHash(version + "\n" + prompt)
}

// Answer returns the first n tokens of the answer to a prompt by an engine without a version.
func Answer(prompt string, n int) string { return AnswerOf("", prompt, n) }

// AnswerOf returns the first n tokens of the answer to a prompt by an engine of a version.
func AnswerOf(version, prompt string, n int) string {
	h := answerHash(version, prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(h, i))
	}
	return b.String()
}

// ServiceAnswer returns the answer of a plain service to a call. It is a function of path and body.
func ServiceAnswer(path, body string) string {
	return strconv.FormatUint(xxhash.Sum64String(path+"\n"+body), 36)
}
