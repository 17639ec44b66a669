// Package librarian caches the heads, items and results of jobs. It reads what isn't
// cached from the owner of the job or from the key-value service.
package librarian
