// Package docs holds the pages for users. Its tests keep them together with the
// code.
package docs
