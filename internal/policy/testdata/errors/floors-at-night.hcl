fleet {
  requests {
    rate = 100
    at {
      from = "22:00"
      to   = "05:00"
      rate = 40
    }
  }
  book "kalahari-core" {
    requests { floor = 50 }
  }
  book "*" {
    requests { part = percent(10) }
  }
}
