package table

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Type is the type of the values in a column.
type Type string

// The types of values.
const (
	TypeText     Type = "text"
	TypeBool     Type = "bool"
	TypeInt      Type = "integer"
	TypeFloat    Type = "number"
	TypeDuration Type = "milliseconds"
)

// RowKind is the kind of object that a row describes.
type RowKind string

// The kinds of row.
const (
	KindAccount RowKind = "account"
	KindClass   RowKind = "class"
)

// DefaultRow is the row whose cells apply to each class and account that
// leaves the cell empty. It also holds the system-wide settings.
const DefaultRow = "default"

// Column describes one column: its type, unit, range and meaning.
type Column struct {
	Name      string
	Type      Type
	Unit      string
	Min       float64
	Max       float64
	AppliesTo string // rows that use the column: "account", "class", "both" or "default"
	Default   string // value where neither the row nor the default row has one
	Help      string // description, printed in the operators' documentation
}

// Names of the columns.
const (
	ColKind            = "kind"
	ColKey             = "key_sha256"
	ColOperator        = "operator"
	ColMatch           = "match"
	ColModel           = "model"
	ColWeight          = "weight"
	ColPriority        = "priority"
	ColLimitRate       = "limit_requests_per_s"
	ColLimitTokens     = "limit_tokens_per_s"
	ColLimitConcurrent = "limit_concurrent"
	ColLatencyTarget   = "target_ms"
	ColDeadline        = "deadline_ms"
	ColMayBeLate       = "may_be_late"
	ColRepeatable      = "repeatable"
	ColRecomputePrice  = "recompute_price"
	ColRetryShare      = "retry_share"
	ColStopDeadline    = "stop_deadline_ms"
	ColRetention       = "retention_ms"
	ColRecordCapacity  = "record_capacity"
	ColMoveKV          = "move_kv"
	ColPolicy          = "routing_policy"
)

// Columns lists every column in the order in which it is shown.
var Columns = []Column{
	{ColKind, TypeText, "", 0, 0, "both", "", "What the row stands for: account or class."},
	{ColKey, TypeText, "", 0, 0, "account", "", "SHA-256 of the account's key, in hex. The key itself is never stored."},
	{ColOperator, TypeBool, "", 0, 0, "account", "false", "Whether the account's key may edit this table."},
	{ColMatch, TypeText, "", 0, 0, "class", "", "Requests of the class: model/NAME, or service/NAME/PATH where the longest match wins."},
	{ColModel, TypeText, "", 0, 0, "class", "", "Model that engines load to serve the class."},
	{ColWeight, TypeFloat, "shares", 0, 1000, "account", "1", "Fair share of work when there is not enough for all."},
	{ColPriority, TypeInt, "", 0, 9, "class", "5", "Higher goes first; lower is refused first when short."},
	{ColLimitRate, TypeFloat, "requests/s", 0, 1e6, "account", "0", "Most requests a second over all entry instances; 0 is no limit."},
	{ColLimitTokens, TypeFloat, "tokens/s", 0, 1e8, "account", "0", "Most tokens of work a second over all entry instances; 0 is no limit."},
	{ColLimitConcurrent, TypeInt, "requests", 0, 1e6, "account", "0", "Most open requests over all entry instances; 0 is no limit."},
	{ColLatencyTarget, TypeDuration, "ms", 1, 600000, "class", "2000", "Latency target: first token of a model call, whole answer of a service call."},
	{ColDeadline, TypeDuration, "ms", 10, 3600000, "class", "120000", "Time until a request without a Request-Deadline is given up on."},
	{ColMayBeLate, TypeBool, "", 0, 0, "class", "false", "Whether a model call may wait past its target when there is not enough for all. If false it is refused instead, with a time to come back."},
	{ColRepeatable, TypeBool, "", 0, 0, "class", "true", "Whether a call may run twice. If false it runs at most once."},
	{ColRecomputePrice, TypeFloat, "ms/token", 0, 100, "class", "0.05", "Price of recomputing one prompt token, as milliseconds of lateness."},
	{ColRetryShare, TypeFloat, "share", 0, 1, "class", "0.2", "Retries allowed as a share of first tries."},
	{ColStopDeadline, TypeDuration, "ms", 1000, 3600000, "default", "60000", "How long a planned stop waits for open streams before it moves them."},
	{ColRetention, TypeDuration, "ms", 1000, 86400000, "default", "600000", "How long after its deadline a request that may not be repeated is remembered."},
	{ColRecordCapacity, TypeInt, "requests", 10, 1e6, "default", "20000", "Most request records one entry instance holds; over it new requests are refused."},
	{ColMoveKV, TypeBool, "", 0, 0, "default", "true", "Whether a stream that leaves an endpoint takes its KV cache along."},
	{ColPolicy, TypeText, "", 0, 0, "default", "default", "Routing policy: default, or a baseline: round-robin, least-loaded, session-hash."},
}

// FindColumn returns the column with this name.
func FindColumn(name string) (Column, bool) {
	for _, c := range Columns {
		if c.Name == name {
			return c, true
		}
	}
	return Column{}, false
}

// Check returns an error if value is not allowed in the column. An empty value
// is allowed.
func (c Column) Check(value string) error {
	if value == "" {
		return nil
	}
	switch c.Type {
	case TypeBool:
		if _, err := strconv.ParseBool(value); err != nil {
			return fmt.Errorf("%q is not true or false", value)
		}
	case TypeInt, TypeDuration:
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", value)
		}
		return c.checkRange(float64(n))
	case TypeFloat:
		f, err := strconv.ParseFloat(value, 64)
		if err != nil || f != f {
			return fmt.Errorf("%q is not a number", value)
		}
		return c.checkRange(f)
	}
	return c.checkText(value)
}

func (c Column) checkRange(f float64) error {
	if f < c.Min || f > c.Max {
		return fmt.Errorf("%v is outside %v to %v %s", f, c.Min, c.Max, c.Unit)
	}
	return nil
}

const sha256HexLength = 64

func (c Column) checkText(value string) error {
	switch c.Name {
	case ColKind:
		if value != string(KindAccount) && value != string(KindClass) {
			return fmt.Errorf("%q is not account or class", value)
		}
	case ColMatch:
		if !strings.HasPrefix(value, "model/") && !strings.HasPrefix(value, "service/") {
			return fmt.Errorf("%q does not begin with model/ or service/", value)
		}
	case ColKey:
		if len(value) != sha256HexLength || strings.Trim(value, "0123456789abcdef") != "" {
			return fmt.Errorf("not a SHA-256 in lower-case hex")
		}
	case ColPolicy:
		switch value {
		case "default", "round-robin", "least-loaded", "session-hash":
		default:
			return fmt.Errorf("%q is not a known routing policy", value)
		}
	}
	return nil
}

func parseFloat(s string) float64 {
	f, _ := strconv.ParseFloat(s, 64) // cells are checked when they are edited
	return f
}

func parseBool(s string) bool {
	b, _ := strconv.ParseBool(s)
	return b
}

func parseMillis(s string) time.Duration {
	n, _ := strconv.ParseInt(s, 10, 64)
	return time.Duration(n) * time.Millisecond
}
