// Package handler answers callers over HTTP, in the shapes that inference
// clients speak. It turns requests into calls and outcomes into answers.
package handler
