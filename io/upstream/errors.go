package upstream

import "fmt"

// MismatchedAnswerError reports that a connection carries answers to other requests. ID
// is the request id of the latest one.
type MismatchedAnswerError struct{ ID string }

// Error implements error.
func (e *MismatchedAnswerError) Error() string { return "answer to another request: " + e.ID }

// TooLargeError reports that an answer, its headers, or the answers that are being read
// at the same time are larger than Limit bytes, or that there are more than Limit
// interim answers.
type TooLargeError struct{ Limit int }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("answer exceeds the limit of %d", e.Limit) }

// InvalidAnswerError reports why a complete answer can't be used.
type InvalidAnswerError struct{ Detail string }

// Error implements error.
func (e *InvalidAnswerError) Error() string { return "invalid answer: " + e.Detail }
