fleet {
  requests { rate = 100 }
  book "kalahari-kore" { share = percent(10) }
  book "*" {
    share = percent(10)
    class "ledger-view" {
      book "namib-factors" {
        requests { rate = 5 }
      }
    }
    class "ledgers" {
      requests { rate = 5 }
    }
    requests {
      rate = 50
      at {
        from = "08:00"
        to   = "18:00"
        rate = 20
      }
      at {
        from      = "09:00"
        to        = "12:00"
        last_days = 1
        rate      = 30
      }
      at {
        from = "07:00"
        to   = "07:00"
        rate = 30
      }
    }
  }
}
