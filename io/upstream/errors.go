package upstream

import "fmt"

// MismatchedAnswerError reports that a connection carries answers to other requests. ID
// is the request id of the latest one.
type MismatchedAnswerError struct{ ID string }

// Error implements error.
func (e *MismatchedAnswerError) Error() string { return "answer to another request: " + e.ID }

// InterimAnswersError reports more than Limit interim answers before an answer.
type InterimAnswersError struct{ Limit int }

// Error implements error.
func (e *InterimAnswersError) Error() string {
	return fmt.Sprintf("more than %d interim answers", e.Limit)
}

// BrokenOffError reports that an answer without a length ended on a connection that failed
// while the request was being written. Cause is the error of the write.
type BrokenOffError struct{ Cause error }

// Error implements error.
func (e *BrokenOffError) Error() string {
	return "answer without a length broken off: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BrokenOffError) Unwrap() error { return e.Cause }

// InvalidAnswerError reports why a complete answer can't be used.
type InvalidAnswerError struct{ Detail string }

// Error implements error.
func (e *InvalidAnswerError) Error() string { return "invalid answer: " + e.Detail }
