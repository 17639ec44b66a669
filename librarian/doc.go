// Package librarian holds what this process knows of jobs, and reads what it does
// not know: from the owner of a job, or from the key-value service.
package librarian
